package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minExpiryOutage is the shortest outage of the registry in which instances expire. It is two heartbeat intervals; the
	// registry removes an instance after three missed heartbeats.
	minExpiryOutage = 3 * time.Second
	// reregisterTime is how long after an outage all running instances have registered again.
	reregisterTime = 2 * time.Second
)

// Instance is one registered run of an upstream process; each start is another instance.
type Instance struct {
	ID            string // differs at each start of the upstream
	Service       string
	Host          string // IP address
	Domain        string // failure domain
	Slots         int    // calls that it runs at once
	Leaving       bool
	ColdRemaining time.Duration // how much longer it was cold when the entry was written
	ModVersion    uint64        // version of the registry that the write of the entry created
	StartedMillis int64         // start of the process, Unix milliseconds
}

// Roster is the list of instances as one reader of the registry sees it. Its content depends only on the version of the
// registry, so that all readers publish the same list under the same version. It is not safe for concurrent use.
type Roster struct {
	instances   map[string]Instance // by ID
	version     uint64
	outageStart time.Time // zero while the registry answers
	syncedAt    time.Time // until then, running instances may be missing
}

// New returns an empty roster.
func New() *Roster { return &Roster{instances: map[string]Instance{}} }

// RegistryFailed records that the registry did not answer.
func (ros *Roster) RegistryFailed(now time.Time) {
	if ros.outageStart.IsZero() {
		ros.outageStart = now
	}
}

// RegistryAnswered records that the registry answered. After an outage long enough for instances to expire, the list is not
// published until they have had the time to register again.
func (ros *Roster) RegistryAnswered(now time.Time) {
	if !ros.outageStart.IsZero() && now.Sub(ros.outageStart) >= minExpiryOutage {
		ros.syncedAt = now.Add(reregisterTime)
	}
	ros.outageStart = time.Time{}
}

// Synced reports whether the list can be published.
func (ros *Roster) Synced(now time.Time) bool { return !now.Before(ros.syncedAt) }

// Put adds or replaces an instance whose entry was written.
func (ros *Roster) Put(ins Instance) {
	ros.instances[ins.ID] = ins
	ros.version = max(ros.version, ins.ModVersion)
}

// Remove drops an instance whose entry was deleted or expired at a version of the registry.
func (ros *Roster) Remove(version uint64, id string) {
	if _, ok := ros.instances[id]; ok {
		delete(ros.instances, id)
		ros.version = max(ros.version, version)
	}
}

// Replace replaces the list by all instances in the registry at a version.
func (ros *Roster) Replace(version uint64, instances []Instance) {
	clear(ros.instances)
	for _, ins := range instances {
		ros.instances[ins.ID] = ins
	}
	if len(instances) > 0 {
		ros.version = max(ros.version, version)
	}
}

// Version returns the version of the registry at which the list last changed, or 0 before the first instance.
func (ros *Roster) Version() uint64 { return ros.version }

// LatestPerHost returns, in ascending order of the hosts, the instance of each host that started last. An upstream that
// starts again may register before its previous instance has expired.
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
