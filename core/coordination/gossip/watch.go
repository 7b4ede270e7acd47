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
	waitTime     = 2 * time.Second
	waitSlack    = time.Second
	readTimeout  = 2 * time.Second
	rereadAfter  = 30 * time.Second
	refusedPause = 10 * time.Second // between reads while the platform holds a refused document
	watcherCheck = 250 * time.Millisecond
	minBackoff   = 250 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxBootBackoff keeps a whole fleet that starts without a good document far below the platform's read rate.
	maxBootBackoff = 10 * time.Second
)

// direct is what this node knows of one document from its own calls to the platform.
type direct struct {
	read    time.Time // start of the last whole read
	stale   bool      // the last read returned a version below the one in force
	refused uint64    // number of a refused version, above which a wait must start
	checked time.Time // newest proof that the version in force is the platform's
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
func (spr *Syncer) boot(ctx context.Context) {
	for _, name := range names {
		pause := spr.random(spr.set.BootJitter)
		bac := spr.newBackoff(max(spr.set.MaxBackoff, min(maxBootBackoff, 2*spr.set.MaxBackoff)))
		for sleep(ctx, pause) && !spr.holds(name) {
			if err := spr.read(ctx, name, &spr.counts.bootReads); err == nil {
				break
			}
			pause = bac.next()
		}
	}
}

func (spr *Syncer) holds(name string) bool {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	_, ok := spr.store.Version(name)
	return ok
}

// fallback reads the platform when the node has heard of no direct read for a while.
func (spr *Syncer) fallback(ctx context.Context) {
	for sleep(ctx, time.Second) {
		if !spr.fallbackDue() {
			continue
		}
		var err error
		for _, name := range names {
			if err == nil {
				err = spr.read(ctx, name, &spr.counts.fallbackReads)
			}
		}
		spr.mu.Lock()
		spr.fresh.Done(time.Now(), err == nil, spr.set.Rand)
		spr.mu.Unlock()
	}
}

func (spr *Syncer) fallbackDue() bool {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	return spr.fresh.Due(time.Now(), spr.set.Rand) && !spr.overlay.Watcher()
}

// watch follows one document at the platform while this node is a watcher of its failure domain.
func (spr *Syncer) watch(ctx context.Context, name string) {
	bac := spr.newBackoff(spr.set.MaxBackoff)
	for ctx.Err() == nil {
		if !spr.Watching() {
			sleep(ctx, watcherCheck)
			continue
		}
		err := spr.watchOnce(ctx, name)
		if err == nil {
			bac.reset()
			continue
		}
		sleep(ctx, bac.next())
	}
}

// Watching says whether this node watches the platform for its failure domain.
func (spr *Syncer) Watching() bool {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	return spr.overlay.Watcher()
}

// watchOnce makes one call. It reads instead of waiting after a gap, and from time to time because a wait can
// show neither a stale replica nor another document under the same or a lower number than a refused one.
func (spr *Syncer) watchOnce(ctx context.Context, name string) error {
	after, reread := spr.watchPlan(name)
	if reread {
		return spr.read(ctx, name, &spr.counts.watchReads)
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, waitTime+waitSlack)
	defer cancel()
	spr.counts.waits.Add(1)
	spr.counts.waiting.Add(1)
	doc, err := spr.set.Source.WaitChange(ctx, name, after, waitTime)
	spr.counts.waiting.Add(-1)
	if errors.Is(err, core.ErrUnchanged) {
		spr.confirm(name, time.Now())
		return nil
	}
	if err != nil {
		spr.forget(name)
		return err
	}
	return spr.take(doc, started)
}

// watchPlan returns the number above which to wait, and whether to read instead.
func (spr *Syncer) watchPlan(name string) (uint64, bool) {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	dir := spr.direct[name]
	ver, ok := spr.store.Version(name)
	after := max(ver.number, dir.refused)
	refused := dir.refused > ver.number && time.Since(dir.read) > refusedPause
	return after, !ok || dir.stale || refused || time.Since(dir.read) > rereadAfter
}

// forget makes the next call a read, because changes may have been missed.
func (spr *Syncer) forget(name string) {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	spr.direct[name].read = time.Time{}
}

// read reads a whole document from the platform.
func (spr *Syncer) read(ctx context.Context, name string, count *atomic.Uint64) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	count.Add(1)
	doc, err := spr.set.Source.Read(ctx, name)
	if err != nil {
		return err
	}
	return spr.take(doc, started)
}

// take applies a document of the platform and notes what it proves about the platform.
func (spr *Syncer) take(doc core.Document, started time.Time) error {
	err := spr.apply(doc, nil, "")
	spr.mu.Lock()
	defer spr.mu.Unlock()
	dir := spr.direct[doc.Name()]
	dir.read = started
	dir.refused = 0
	if err != nil {
		dir.refused = doc.Version()
	}
	held, ok := spr.store.Version(doc.Name())
	ver := NewVersion(doc)
	dir.stale = ok && held.number > ver.number && err == nil
	if dir.stale {
		return &StaleError{read: ver, held: held}
	}
	spr.confirmLocked(dir, started)
	return err
}

func (spr *Syncer) confirm(name string, at time.Time) {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	spr.confirmLocked(spr.direct[name], at)
}

// confirmLocked counts a direct read only when both documents have been confirmed.
func (spr *Syncer) confirmLocked(dir *direct, at time.Time) {
	dir.checked = at
	oldest := at
	for _, other := range spr.direct {
		if other.checked.Before(oldest) {
			oldest = other.checked
		}
	}
	if !oldest.IsZero() {
		spr.fresh.Heard(oldest)
	}
}

// backoff spreads repeated calls: pauses double up to a limit, and the second half of each is random.
type backoff struct {
	spr   *Syncer
	pause time.Duration
	limit time.Duration
}

func (spr *Syncer) newBackoff(limit time.Duration) *backoff {
	return &backoff{spr: spr, pause: minBackoff, limit: limit}
}

func (bac *backoff) next() time.Duration {
	half := bac.pause / 2
	bac.pause = min(2*bac.pause, bac.limit)
	return half + bac.spr.random(half)
}

func (bac *backoff) reset() { bac.pause = minBackoff }
