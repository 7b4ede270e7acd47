package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// lapseTime is the shortest interruption in which entries expire: two of the three heartbeats after whose absence
	// the registry removes an entry.
	lapseTime = 3 * time.Second
	// returnTime is how long after an interruption the upstreams that live have registered again.
	returnTime = 2 * time.Second
)

// Upstream is one registered start of an upstream.
type Upstream struct {
	ID      string // of this start
	Service string
	Host    string // IP address of its machine
	Domain  string
	Slots   int
	Leaving bool
	Cold    time.Duration // how much longer it stayed cold at Written
	Written uint64        // version of the registry at which the entry was written
	Born    int64         // start of the process, Unix milliseconds
}

// Roster is the list as one reader of the registry sees it. Its content depends on the version of the registry alone,
// so that all readers publish the same list under the same version. It is not safe for concurrent use.
type Roster struct {
	entries map[string]Upstream
	version uint64
	broken  time.Time // start of the interruption, or zero
	settles time.Time // until then entries may be missing
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: map[string]Upstream{}} }

// Interrupted records that the registry did not answer.
func (ros *Roster) Interrupted(now time.Time) {
	if ros.broken.IsZero() {
		ros.broken = now
	}
}

// Answered records that the registry answered; after a long interruption it starts the time in which entries return.
func (ros *Roster) Answered(now time.Time) {
	if !ros.broken.IsZero() && now.Sub(ros.broken) >= lapseTime {
		ros.settles = now.Add(returnTime)
	}
	ros.broken = time.Time{}
}

// Settled says whether the list can be published.
func (ros *Roster) Settled(now time.Time) bool { return !now.Before(ros.settles) }

// Put takes an entry as it was written.
func (ros *Roster) Put(ups Upstream) {
	ros.entries[ups.ID] = ups
	ros.version = max(ros.version, ups.Written)
}

// Remove takes the end of an entry at a version of the registry.
func (ros *Roster) Remove(version uint64, id string) {
	if _, ok := ros.entries[id]; ok {
		delete(ros.entries, id)
		ros.version = max(ros.version, version)
	}
}

// Replace takes a whole reading of the registry.
func (ros *Roster) Replace(version uint64, all []Upstream) {
	clear(ros.entries)
	for _, ups := range all {
		ros.entries[ups.ID] = ups
	}
	if len(all) > 0 {
		ros.version = max(ros.version, version)
	}
}

// Version returns the version of the list, or 0 before there is one.
func (ros *Roster) Version() uint64 { return ros.version }

// Hosts returns one upstream for each machine in ascending order of the machine: the one that started last. An
// upstream that starts again may register before the entry of its last start has gone.
func (ros *Roster) Hosts() []Upstream {
	byHost := map[string]Upstream{}
	for _, ups := range ros.entries {
		if old, ok := byHost[ups.Host]; !ok || later(ups, old) {
			byHost[ups.Host] = ups
		}
	}
	return slices.SortedFunc(maps.Values(byHost), func(one, two Upstream) int { return cmp.Compare(one.Host, two.Host) })
}

func later(one, two Upstream) bool {
	return cmp.Or(cmp.Compare(one.Born, two.Born), cmp.Compare(one.Written, two.Written), cmp.Compare(one.ID, two.ID)) > 0
}
