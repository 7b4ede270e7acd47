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
	minExpiryOutage = 3 * time.Second
	// returnTime is how long after an interruption the upstreams that live have registered again.
	reregisterTime = 2 * time.Second
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
	instances   map[string]Instance
	version     uint64
	outageStart time.Time // start of the interruption, or zero
	syncedAt    time.Time // until then entries may be missing
}

// New returns an empty roster.
func New() *Roster { return &Roster{instances: map[string]Instance{}} }

// RegistryDown records that the registry did not answer.
func (ros *Roster) RegistryDown(now time.Time) {
	if ros.outageStart.IsZero() {
		ros.outageStart = now
	}
}

// RegistryUp records that the registry answered; after a long interruption it starts the time in which entries return.
func (ros *Roster) RegistryUp(now time.Time) {
	if !ros.outageStart.IsZero() && now.Sub(ros.outageStart) >= minExpiryOutage {
		ros.syncedAt = now.Add(reregisterTime)
	}
	ros.outageStart = time.Time{}
}

// Synced says whether the list can be published.
func (ros *Roster) Synced(now time.Time) bool { return !now.Before(ros.syncedAt) }

// Put takes an entry as it was written.
func (ros *Roster) Put(ins Instance) {
	ros.instances[ins.ID] = ins
	ros.version = max(ros.version, ins.ModVersion)
}

// Remove takes the end of an entry at a version of the registry.
func (ros *Roster) Remove(version uint64, id string) {
	if _, ok := ros.instances[id]; ok {
		delete(ros.instances, id)
		ros.version = max(ros.version, version)
	}
}

// Replace takes a whole reading of the registry.
func (ros *Roster) Replace(version uint64, instances []Instance) {
	clear(ros.instances)
	for _, ins := range instances {
		ros.instances[ins.ID] = ins
	}
	if len(instances) > 0 {
		ros.version = max(ros.version, version)
	}
}

// Version returns the version of the list, or 0 before there is one.
func (ros *Roster) Version() uint64 { return ros.version }

// LatestPerHost returns one instance for each machine in ascending order of the machine: the one that started last. An
// upstream that starts again may register before the entry of its last start has gone.
func (ros *Roster) LatestPerHost() []Instance {
	byHost := map[string]Instance{}
	for _, ins := range ros.instances {
		if latest, ok := byHost[ins.Host]; !ok || startedLater(ins, latest) {
			byHost[ins.Host] = ins
		}
	}
	return slices.SortedFunc(maps.Values(byHost), func(first, second Instance) int { return cmp.Compare(first.Host, second.Host) })
}

func startedLater(first, second Instance) bool {
	return cmp.Or(cmp.Compare(first.StartedMillis, second.StartedMillis), cmp.Compare(first.ModVersion, second.ModVersion), cmp.Compare(first.ID, second.ID)) > 0
}
