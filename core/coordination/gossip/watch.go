package gossip

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"amaranthline/core"
)

const (
	// A silent connection of a watch is found after waitTime and waitSlack. waitTime is also well below staleAfter,
	// so that each node hears of a direct read in time while nothing changes.
	longPollTime          = 2 * time.Second
	longPollSlack         = time.Second
	readTimeout           = 2 * time.Second
	rereadInterval        = 30 * time.Second
	refusedRereadInterval = 10 * time.Second // between reads while the platform holds a refused document
	watcherCheckInterval  = 250 * time.Millisecond
	minBackoff            = 250 * time.Millisecond
	defaultMaxBackoff     = 5 * time.Second
	// maxBootBackoff keeps a whole fleet that starts without a good document far below the platform's read rate.
	maxBootBackoff = 10 * time.Second
)

// direct is what this node knows of one document from its own calls to the platform.
type readState struct {
	lastRead      time.Time // start of the last whole read
	stale         bool      // the last read returned a version below the one in force
	refusedNumber uint64    // number of a refused version, above which a wait must start
	confirmedAt   time.Time // newest proof that the version in force is the platform's
}

// StaleError says that the platform returned an older version than the one in force.
type StaleError struct {
	read, held Version
}

// Error returns both versions and the remedy.
func (ste *StaleError) Error() string {
	return fmt.Sprintf("the platform returned %s version %d although version %d is in force; repair the stale replica",
		ste.read.name, ste.read.number, ste.held.number)
}

// boot gives a starting node its first documents from the platform, if no peer is faster. The host list comes
// first: it leads to peers that have the declarations.
func (syn *Syncer) runBoot(ctx context.Context) {
	for _, name := range documentNames {
		pause := syn.randomDuration(syn.set.BootJitter)
		bac := syn.newBackoff(max(syn.set.MaxBackoff, min(maxBootBackoff, 2*syn.set.MaxBackoff)))
		for sleep(ctx, pause) && !syn.holdsDocument(name) {
			if err := syn.readPlatform(ctx, name, &syn.counts.bootReads); err == nil {
				break
			}
			pause = bac.next()
		}
	}
}

func (syn *Syncer) holdsDocument(name string) bool {
	syn.mu.Lock()
	defer syn.mu.Unlock()
	_, ok := syn.store.Version(name)
	return ok
}

// fallback reads the platform when the node has heard of no direct read for a while.
func (syn *Syncer) runFallback(ctx context.Context) {
	for sleep(ctx, time.Second) {
		if !syn.isFallbackDue() {
			continue
		}
		var err error
		for _, name := range documentNames {
			if err == nil {
				err = syn.readPlatform(ctx, name, &syn.counts.fallbackReads)
			}
		}
		syn.mu.Lock()
		syn.freshness.Done(time.Now(), err == nil, syn.set.Rand)
		syn.mu.Unlock()
	}
}

func (syn *Syncer) isFallbackDue() bool {
	syn.mu.Lock()
	defer syn.mu.Unlock()
	return syn.freshness.Due(time.Now(), syn.set.Rand) && !syn.overlay.Watcher()
}

// watch follows one document at the platform while this node is a watcher of its failure domain.
func (syn *Syncer) runWatch(ctx context.Context, name string) {
	bac := syn.newBackoff(syn.set.MaxBackoff)
	for ctx.Err() == nil {
		if !syn.Watching() {
			sleep(ctx, watcherCheckInterval)
			continue
		}
		err := syn.watchOnce(ctx, name)
		if err == nil {
			bac.reset()
			continue
		}
		sleep(ctx, bac.next())
	}
}

// Watching says whether this node watches the platform for its failure domain.
func (syn *Syncer) Watching() bool {
	syn.mu.Lock()
	defer syn.mu.Unlock()
	return syn.overlay.Watcher()
}

// watchOnce makes one call. It reads instead of waiting after a gap, and from time to time because a wait can
// show neither a stale replica nor another document under the same or a lower number than a refused one.
func (syn *Syncer) watchOnce(ctx context.Context, name string) error {
	after, mustRead := syn.planWatchCall(name)
	if mustRead {
		return syn.readPlatform(ctx, name, &syn.counts.watchReads)
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, longPollTime+longPollSlack)
	defer cancel()
	syn.counts.waits.Add(1)
	syn.counts.waiting.Add(1)
	doc, err := syn.set.Source.WaitChange(ctx, name, after, longPollTime)
	syn.counts.waiting.Add(-1)
	if errors.Is(err, core.ErrUnchanged) {
		syn.recordConfirmed(name, time.Now())
		return nil
	}
	if err != nil {
		syn.forceRead(name)
		return err
	}
	return syn.applyFromPlatform(doc, started)
}

// watchPlan returns the number above which to wait, and whether to read instead.
func (syn *Syncer) planWatchCall(name string) (uint64, bool) {
	syn.mu.Lock()
	defer syn.mu.Unlock()
	rds := syn.reads[name]
	ver, ok := syn.store.Version(name)
	after := max(ver.number, rds.refusedNumber)
	rereadRefused := rds.refusedNumber > ver.number && time.Since(rds.lastRead) > refusedRereadInterval
	return after, !ok || rds.stale || rereadRefused || time.Since(rds.lastRead) > rereadInterval
}

// forget makes the next call a read, because changes may have been missed.
func (syn *Syncer) forceRead(name string) {
	syn.mu.Lock()
	defer syn.mu.Unlock()
	syn.reads[name].lastRead = time.Time{}
}

// read reads a whole document from the platform.
func (syn *Syncer) readPlatform(ctx context.Context, name string, counter *atomic.Uint64) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	counter.Add(1)
	doc, err := syn.set.Source.Read(ctx, name)
	if err != nil {
		return err
	}
	return syn.applyFromPlatform(doc, started)
}

// take applies a document of the platform and notes what it proves about the platform.
func (syn *Syncer) applyFromPlatform(doc core.Document, started time.Time) error {
	err := syn.apply(doc, nil, "")
	syn.mu.Lock()
	defer syn.mu.Unlock()
	rds := syn.reads[doc.Name()]
	rds.lastRead = started
	rds.refusedNumber = 0
	if err != nil {
		rds.refusedNumber = doc.Version()
	}
	held, ok := syn.store.Version(doc.Name())
	ver := NewVersion(doc)
	rds.stale = ok && held.number > ver.number && err == nil
	if rds.stale {
		return &StaleError{read: ver, held: held}
	}
	syn.recordConfirmedLocked(rds, started)
	return err
}

func (syn *Syncer) recordConfirmed(name string, at time.Time) {
	syn.mu.Lock()
	defer syn.mu.Unlock()
	syn.recordConfirmedLocked(syn.reads[name], at)
}

// confirmLocked counts a direct read only when both documents have been confirmed.
func (syn *Syncer) recordConfirmedLocked(rds *readState, at time.Time) {
	rds.confirmedAt = at
	oldest := at
	for _, other := range syn.reads {
		if other.confirmedAt.Before(oldest) {
			oldest = other.confirmedAt
		}
	}
	if !oldest.IsZero() {
		syn.freshness.Heard(oldest)
	}
}

// backoff spreads repeated calls: pauses double up to a limit, and the second half of each is random.
type backoff struct {
	syncer    *Syncer
	nextPause time.Duration
	maxPause  time.Duration
}

func (syn *Syncer) newBackoff(maxPause time.Duration) *backoff {
	return &backoff{syncer: syn, nextPause: minBackoff, maxPause: maxPause}
}

func (bac *backoff) next() time.Duration {
	half := bac.nextPause / 2
	bac.nextPause = min(2*bac.nextPause, bac.maxPause)
	return half + bac.syncer.randomDuration(half)
}

func (bac *backoff) reset() { bac.nextPause = minBackoff }
