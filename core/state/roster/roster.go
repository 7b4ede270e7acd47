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
	// coldJump is by how much the remaining cold time must exceed what is left of the last one, to count as news.
	coldJump = 500 * time.Millisecond
)

// Upstream is one registered start of an upstream.
type Upstream struct {
	ID      string // of this start
	Service string
	Host    string // IP address of its machine
	Domain  string
	Slots   int
	Leaving bool
	Cold    time.Duration // how much longer it stayed cold at ColdAt
	ColdAt  uint64        // version of the registry at which the entry was written
	Born    int64         // start of the process, Unix milliseconds
}

// entry is an upstream as the newest entry with news shows it, so that readers of the same version show the same.
type entry struct {
	Upstream
	cold    time.Duration // in the newest entry
	read    time.Time     // of the newest entry
	missing bool          // not in the registry any more, kept until the roster settles
}

// Roster is the present list. It is not safe for concurrent use.
type Roster struct {
	entries map[string]*entry
	version uint64    // of the newest change that matters to the fleet
	broken  time.Time // start of the interruption, or zero
	settles time.Time // until then missing entries are kept
	missing int
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: map[string]*entry{}} }

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

// Put takes an entry that was written at a version of the registry.
func (ros *Roster) Put(now time.Time, version uint64, ups Upstream) {
	old := ros.entries[ups.ID]
	if old != nil && !old.missing && !old.news(now, ups) {
		old.cold, old.read = ups.Cold, now
		return
	}
	if old != nil && old.missing {
		ros.missing--
	}
	ros.entries[ups.ID] = &entry{Upstream: ups, cold: ups.Cold, read: now}
	ros.version = max(ros.version, version)
}

// news says whether an entry tells more than that its upstream still lives.
func (ent *entry) news(now time.Time, ups Upstream) bool {
	before, after := ent.Upstream, ups
	before.Cold, after.Cold, before.ColdAt, after.ColdAt = 0, 0, 0, 0
	left := max(ent.cold-now.Sub(ent.read), 0)
	return before != after || ups.Cold > left+coldJump
}

// Remove takes the end of an entry. An upstream that had announced its leaving is gone at once.
func (ros *Roster) Remove(now time.Time, version uint64, id string) {
	ent := ros.entries[id]
	if ent == nil {
		return
	}
	if now.Before(ros.settles) && !ent.Leaving {
		if !ent.missing {
			ent.missing = true
			ros.missing++
		}
		return
	}
	ros.drop(version, id)
}

func (ros *Roster) drop(version uint64, id string) {
	if ros.entries[id].missing {
		ros.missing--
	}
	delete(ros.entries, id)
	ros.version = max(ros.version, version)
}

// Replace takes a whole reading of the registry.
func (ros *Roster) Replace(now time.Time, version uint64, all []Upstream) {
	seen := map[string]bool{}
	for _, ups := range all {
		seen[ups.ID] = true
		ros.Put(now, version, ups)
	}
	for id := range ros.entries {
		if !seen[id] {
			ros.Remove(now, version, id)
		}
	}
}

// Settle removes the entries that did not return in time, at the present version of the registry.
func (ros *Roster) Settle(now time.Time, version uint64) {
	if !ros.broken.IsZero() || now.Before(ros.settles) {
		return
	}
	for id, ent := range ros.entries {
		if ent.missing {
			ros.drop(version, id)
		}
	}
}

// Version orders the lists of all readers of a registry, or is 0 before there is one. Of two lists at the same version
// of the registry, the one that keeps missing entries is the older one.
func (ros *Roster) Version() uint64 {
	if ros.missing > 0 || ros.version == 0 {
		return 2 * ros.version
	}
	return 2*ros.version + 1
}

// Hosts returns one upstream for each machine in ascending order of the machine: the one that started last. An
// upstream that starts again may register before the entry of its last start has gone.
func (ros *Roster) Hosts() []Upstream {
	byHost := map[string]Upstream{}
	for _, ent := range ros.entries {
		ups := ent.Upstream
		if old, ok := byHost[ups.Host]; !ok || later(ups, old) {
			byHost[ups.Host] = ups
		}
	}
	return slices.SortedFunc(maps.Values(byHost), func(one, two Upstream) int { return cmp.Compare(one.Host, two.Host) })
}

func later(one, two Upstream) bool {
	return cmp.Or(cmp.Compare(one.Born, two.Born), cmp.Compare(one.ID, two.ID)) > 0
}
