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
	// A watcher detects a silent connection to the platform after longPollTime plus longPollSlack. longPollTime is also
	// well below fallbackReadAfter, so that while nothing changes each node still learns of a direct read in time.
	longPollTime          = 2 * time.Second
	longPollSlack         = time.Second
	readTimeout           = 2 * time.Second
	rereadInterval        = 30 * time.Second // between the reads of a watcher, which otherwise uses long polls
	refusedRereadInterval = 10 * time.Second // the same while the document at the platform is a refused one
	watcherCheckInterval  = 250 * time.Millisecond
	// staleAfter is the age of the newest known read of the platform from which a second host of each failure domain
	// watches. While all is well the age stays below longPollTime and two rounds of gossip.
	staleAfter        = longPollTime + 2*gossipInterval
	minBackoff        = 250 * time.Millisecond
	defaultMaxBackoff = 5 * time.Second
	// maxBootBackoff keeps the reads of a whole fleet that starts while the platform has no valid document far below the
	// rate that the platform serves.
	maxBootBackoff = 10 * time.Second
)

// readState is what this node knows of one document from its own calls to the platform.
type readState struct {
	lastRead      time.Time // start of the last call that returned a document; zero forces a read
	returnedOld   bool      // that call returned a version below the one in force
	refusedNumber uint64    // number of the refused version that the platform holds, or 0; a long poll waits for a higher one
	confirmedAt   time.Time // newest time at which the platform had no newer valid version than this node
}

// StaleError says that the platform returned an older version of a document than the one in force.
type StaleError struct {
	read, held Version
}

// Error names both versions and the remedy.
func (ste *StaleError) Error() string {
	return fmt.Sprintf("the platform returned %s version %d although version %d is in force; repair the stale replica of the platform",
		ste.read.name, ste.read.number, ste.held.number)
}

// runBoot reads the first documents of a starting node from the platform, unless peers deliver them earlier. The host
// list is read first, because it gives the addresses of peers that have the declarations.
func (syn *Syncer) runBoot(ctx context.Context) {
	for _, name := range documentNames {
		pause := syn.randomDuration(syn.settings.BootJitter)
		bac := syn.newBackoff(max(syn.settings.MaxBackoff, min(maxBootBackoff, 2*syn.settings.MaxBackoff)))
		for sleep(ctx, pause) && !syn.holdsDocument(name) {
			if err := syn.readPlatform(ctx, name, &syn.counts.bootReads); err == nil {
				break
			}
			pause = bac.next()
		}
	}
}

func (syn *Syncer) holdsDocument(name string) bool { return syn.heldVersion(name) > 0 }

// heldVersion returns the number of the version in force, or 0 if there is none.
func (syn *Syncer) heldVersion(name string) uint64 {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	ver, _ := syn.store.Version(name)
	return ver.number
}

// runFallback reads the platform whenever a fallback read is due.
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
		syn.mut.Lock()
		syn.freshness.RecordFallback(time.Now(), err == nil, syn.settings.Rand)
		syn.mut.Unlock()
	}
}

// isFallbackDue reports whether a fallback read is due. It never is for a watcher, which reads the platform anyway.
func (syn *Syncer) isFallbackDue() bool {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	return syn.freshness.IsFallbackDue(time.Now(), syn.settings.Rand) && !syn.overlay.IsWatcher()
}

// runWatch watches one document at the platform while this node is a watcher of its failure domain.
func (syn *Syncer) runWatch(ctx context.Context, name string) {
	bac := syn.newBackoff(syn.settings.MaxBackoff)
	for ctx.Err() == nil {
		if !syn.IsWatcher() {
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

// IsWatcher reports whether this node watches the platform for its failure domain.
func (syn *Syncer) IsWatcher() bool {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	age, _ := syn.freshness.Age(time.Now())
	syn.overlay.SetStale(age > staleAfter)
	return syn.overlay.IsWatcher()
}

// watchOnce makes one call to the platform, usually a long poll. It reads the document instead when changes may have
// been missed, and also from time to time, because a long poll reveals neither a stale replica nor a document that
// replaces a refused one under the same or a lower number.
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
	doc, err := syn.settings.Source.WaitChange(ctx, name, after, longPollTime)
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

// planWatchCall returns the number above which a version ends the long poll, and whether to read the document instead.
func (syn *Syncer) planWatchCall(name string) (uint64, bool) {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	rds := syn.reads[name]
	ver, ok := syn.store.Version(name)
	after := max(ver.number, rds.refusedNumber)
	rereadRefused := rds.refusedNumber > ver.number && time.Since(rds.lastRead) > refusedRereadInterval
	return after, !ok || rds.returnedOld || rereadRefused || time.Since(rds.lastRead) > rereadInterval
}

// forceRead makes the next call of a watcher a read.
func (syn *Syncer) forceRead(name string) {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	syn.reads[name].lastRead = time.Time{}
}

// readPlatform reads a document from the platform, applies it and counts the call.
func (syn *Syncer) readPlatform(ctx context.Context, name string, counter *atomic.Uint64) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	counter.Add(1)
	doc, err := syn.settings.Source.Read(ctx, name, syn.heldVersion(name))
	if errors.Is(err, core.ErrUnchanged) {
		syn.recordUnchanged(name, started)
		return nil
	}
	if err != nil {
		return err
	}
	return syn.applyFromPlatform(doc, started)
}

// applyFromPlatform applies a document that the platform returned and records what it shows about the platform.
func (syn *Syncer) applyFromPlatform(doc core.Document, started time.Time) error {
	err := syn.apply(doc, nil, "")
	syn.mut.Lock()
	defer syn.mut.Unlock()
	rds := syn.reads[doc.Name()]
	rds.lastRead = started
	rds.refusedNumber = 0
	if err != nil {
		rds.refusedNumber = doc.Version()
	}
	held, ok := syn.store.Version(doc.Name())
	ver := NewVersion(doc)
	rds.returnedOld = ok && held.number > ver.number && err == nil
	if rds.returnedOld {
		return &StaleError{read: ver, held: held}
	}
	syn.recordConfirmedLocked(rds, started)
	if isOlderContent(err) {
		return nil // a long poll returns the newer content as soon as the platform has it
	}
	return err
}

// recordUnchanged records a read that returned no document to put in force.
func (syn *Syncer) recordUnchanged(name string, started time.Time) {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	syn.reads[name].lastRead = started
	syn.recordConfirmedLocked(syn.reads[name], started)
}

// recordConfirmed records that the platform had no newer valid version of a document than this node at a time.
func (syn *Syncer) recordConfirmed(name string, at time.Time) {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	syn.recordConfirmedLocked(syn.reads[name], at)
}

// recordConfirmedLocked is recordConfirmed with the lock held. Freshness counts a direct read only once both documents
// have been confirmed, at the earlier of the two times.
func (syn *Syncer) recordConfirmedLocked(rds *readState, at time.Time) {
	rds.confirmedAt = at
	oldest := at
	for _, other := range syn.reads {
		if other.confirmedAt.Before(oldest) {
			oldest = other.confirmedAt
		}
	}
	if !oldest.IsZero() {
		syn.freshness.RecordRead(oldest)
	}
}

// backoff spreads retries over time: pauses double up to a limit, and the second half of each is random.
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
