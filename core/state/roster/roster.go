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

// Instance is one registered start of an upstream.
type Instance struct {
	ID            string // of this start
	Service       string
	Host          string // IP address of its machine
	Domain        string
	Slots         int
	Leaving       bool
	ColdRemaining time.Duration // how much longer it stayed cold at ModVersion
	ModVersion    uint64        // version of the registry at which the entry was written
	StartedMillis int64         // start of the process, Unix milliseconds
}

// Roster is the list as one reader of the registry sees it. Its content depends on the version of the registry alone,
// so that all readers publish the same list under the same version. It is not safe for concurrent use.
type Roster struct {
	entries map[string]Instance
	version uint64
	broken  time.Time // start of the interruption, or zero
	settles time.Time // until then entries may be missing
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: map[string]Instance{}} }

// RegistryDown records that the registry did not answer.
func (ros *Roster) RegistryDown(now time.Time) {
	if ros.broken.IsZero() {
		ros.broken = now
	}
}

// RegistryUp records that the registry answered; after a long interruption it starts the time in which entries return.
func (ros *Roster) RegistryUp(now time.Time) {
	if !ros.broken.IsZero() && now.Sub(ros.broken) >= lapseTime {
		ros.settles = now.Add(returnTime)
	}
	ros.broken = time.Time{}
}

// Synced says whether the list can be published.
func (ros *Roster) Synced(now time.Time) bool { return !now.Before(ros.settles) }

// Put takes an entry as it was written.
func (ros *Roster) Put(ups Instance) {
	ros.entries[ups.ID] = ups
	ros.version = max(ros.version, ups.ModVersion)
}

// Remove takes the end of an entry at a version of the registry.
func (ros *Roster) Remove(version uint64, id string) {
	if _, ok := ros.entries[id]; ok {
		delete(ros.entries, id)
		ros.version = max(ros.version, version)
	}
}

// Replace takes a whole reading of the registry.
func (ros *Roster) Replace(version uint64, all []Instance) {
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

// LatestPerHost returns one instance for each machine in ascending order of the machine: the one that started last. An
// upstream that starts again may register before the entry of its last start has gone.
func (ros *Roster) LatestPerHost() []Instance {
	byHost := map[string]Instance{}
	for _, ups := range ros.entries {
		if old, ok := byHost[ups.Host]; !ok || later(ups, old) {
			byHost[ups.Host] = ups
		}
	}
	return slices.SortedFunc(maps.Values(byHost), func(one, two Instance) int { return cmp.Compare(one.Host, two.Host) })
}

func later(one, two Instance) bool {
	return cmp.Or(cmp.Compare(one.StartedMillis, two.StartedMillis), cmp.Compare(one.ModVersion, two.ModVersion), cmp.Compare(one.ID, two.ID)) > 0
}
