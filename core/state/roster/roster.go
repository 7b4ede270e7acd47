package roster

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// minExpiryOutage is the shortest outage of the registry in which instances expire. It is two heartbeat intervals; the
	// registry removes an instance after three missed heartbeats.
	minExpiryOutage = 3 * time.Second
	// ReregisterTime is how long after an outage all running instances have registered again.
	ReregisterTime = 2 * time.Second
	// departureTime and maxDepartures limit which instances that left are remembered for a restoration of the registry.
	departureTime = time.Minute
	maxDepartures = 1024
	maxNameBytes  = 200 // of an identifier and of the name of a service
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
	Sequence      uint64        // number of times that the instance has written its entry since its start
}

// Check returns why an instance cannot be listed, or nil. Its identifier must be visible ASCII, because calls name it in a
// header.
func (ins *Instance) Check() error {
	if ins.ID == "" || len(ins.ID) > maxNameBytes || strings.ContainsFunc(ins.ID, func(chr rune) bool { return chr <= ' ' || chr > '~' }) {
		return fmt.Errorf("the identifier is not 1 to %d visible ASCII characters", maxNameBytes)
	}
	if ins.Service == "" || len(ins.Service) > maxNameBytes {
		return fmt.Errorf("the name of the service does not have 1 to %d bytes", maxNameBytes)
	}
	addr, err := netip.ParseAddr(ins.Host)
	switch {
	case err != nil || addr.Zone() != "" || addr.IsUnspecified() || addr.IsMulticast():
		return errors.New("the address is not the IP address of one host")
	case ins.Slots < 1 || ins.Slots > math.MaxInt32:
		return fmt.Errorf("the number of slots is not from 1 to %d", math.MaxInt32)
	case ins.ColdRemaining < 0:
		return errors.New("the remaining time of the cold start is below 0")
	}
	return nil
}

// departure is the last entry of an instance that has left or is leaving.
type departure struct {
	last     Instance
	removed  bool
	at       time.Time
	restored bool // the registry was restored since then, so the entry or an earlier one may be back
}

// Roster is the list of instances as one reader of the registry sees it. Its content depends only on the version of the
// registry and, after a restoration of the registry, on which instances left before, so that all readers that saw the same
// changes publish the same list under the same version. It is not safe for concurrent use.
type Roster struct {
	instances   map[string]Instance // by ID
	version     uint64
	outageStart time.Time            // zero while the registry answers
	syncedAt    time.Time            // until then, running instances may be missing
	departures  map[string]departure // by ID
	entriesLost bool                 // the registry was restored since the list was last replaced
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{instances: map[string]Instance{}, departures: map[string]departure{}}
}

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
		ros.syncedAt = now.Add(ReregisterTime)
	}
	ros.outageStart = time.Time{}
}

// RegistryRestored records that the registry was restored from a copy. Its latest changes are lost: entries of instances that
// had left are back until they expire, and those of others are missing until they are written again.
func (ros *Roster) RegistryRestored(now time.Time) {
	lost := now
	if !ros.outageStart.IsZero() {
		lost = ros.outageStart
	}
	for id, dep := range ros.departures {
		if lost.Sub(dep.at) > departureTime {
			delete(ros.departures, id)
			continue
		}
		dep.at, dep.restored = now, true
		ros.departures[id] = dep
	}
	ros.entriesLost = true
}

// Synced reports whether the list can be published.
func (ros *Roster) Synced(now time.Time) bool { return !now.Before(ros.syncedAt) }

// SyncedAt returns the time from which the list can be published.
func (ros *Roster) SyncedAt() time.Time { return ros.syncedAt }

// Put adds or replaces an instance whose entry was written.
func (ros *Roster) Put(now time.Time, ins Instance) {
	if ros.put(now, ins) {
		ros.version = max(ros.version, ins.ModVersion)
	}
}

// put is Put without the version. It returns false for an entry from before the departure of its instance.
func (ros *Roster) put(now time.Time, ins Instance) bool {
	if dep, ok := ros.departures[ins.ID]; ok && dep.restored && now.Sub(dep.at) <= departureTime && !writtenLater(ins, dep.last) {
		if dep.removed {
			return false
		}
		ins.Leaving = true
	}
	ros.instances[ins.ID] = ins
	if ins.Leaving {
		ros.recordDeparture(now, ins, false)
	} else {
		delete(ros.departures, ins.ID)
	}
	return true
}

// writtenLater reports whether an entry is newer than another one of the same instance, as far as they show.
func writtenLater(ins, other Instance) bool {
	if ins.StartedMillis == 0 {
		return true
	}
	return cmp.Or(cmp.Compare(ins.StartedMillis, other.StartedMillis), cmp.Compare(ins.Sequence, other.Sequence)) > 0
}

// recordDeparture remembers the entry of an instance that is leaving or was removed. If the memory is full, it forgets the
// departure that is the longest ago.
func (ros *Roster) recordDeparture(now time.Time, ins Instance, removed bool) {
	old, ok := ros.departures[ins.ID]
	if ok && !writtenLater(ins, old.last) {
		ins = old.last
	}
	ros.departures[ins.ID] = departure{last: ins, removed: removed, at: now, restored: old.restored && !removed}
	if len(ros.departures) <= maxDepartures {
		return
	}
	oldest := ins.ID
	for id, dep := range ros.departures {
		if now.Sub(dep.at) > departureTime {
			delete(ros.departures, id)
		} else if dep.at.Before(ros.departures[oldest].at) {
			oldest = id
		}
	}
	if len(ros.departures) > maxDepartures {
		delete(ros.departures, oldest)
	}
}

// Remove drops an instance whose entry was deleted or expired at a version of the registry.
func (ros *Roster) Remove(now time.Time, version uint64, id string) {
	if ins, ok := ros.instances[id]; ok {
		delete(ros.instances, id)
		ros.recordDeparture(now, ins, true)
		ros.version = max(ros.version, version)
	}
}

// Replace replaces the list by all instances in the registry at a version.
func (ros *Roster) Replace(now time.Time, version uint64, instances []Instance) {
	before := ros.instances
	ros.instances = map[string]Instance{}
	listed := map[string]bool{}
	for _, ins := range instances {
		listed[ins.ID] = true
		ros.put(now, ins)
	}
	for id, ins := range before {
		// An instance whose entry the registry has lost did not leave.
		if !listed[id] && !ros.entriesLost {
			ros.recordDeparture(now, ins, true)
		}
	}
	ros.entriesLost = false
	if len(instances) > 0 {
		ros.version = max(ros.version, version)
	}
}

// Version returns the version of the registry at which the list last changed, or 0 before the first instance.
func (ros *Roster) Version() uint64 { return ros.version }

// LatestPerHost returns, in ascending order of the hosts, the instance of each host that started last. An upstream that
// starts again may register before its previous instance has expired. A host with instances of several services has one of
// each on the list, the one that started last first: one may be of a program that is no upstream.
func (ros *Roster) LatestPerHost() []Instance {
	type place struct{ host, service string }
	latest := map[place]Instance{}
	for _, ins := range ros.instances {
		plc := place{host: ins.Host, service: ins.Service}
		if other, ok := latest[plc]; !ok || startedLater(ins, other) {
			latest[plc] = ins
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(first, second Instance) int {
		return cmp.Or(cmp.Compare(first.Host, second.Host), -compareStarts(first, second))
	})
}

func startedLater(first, second Instance) bool { return compareStarts(first, second) > 0 }

// compareStarts returns above 0 if the first instance started later than the second, as far as their entries show.
func compareStarts(first, second Instance) int {
	return cmp.Or(cmp.Compare(first.StartedMillis, second.StartedMillis), cmp.Compare(first.ModVersion, second.ModVersion), cmp.Compare(first.ID, second.ID))
}
