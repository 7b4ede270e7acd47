package picker

import "time"

const (
	// RefusalsBeforeOtherDomains is how many hosts must have refused a call for lack of room before PickAfterRefusal chooses.
	RefusalsBeforeOtherDomains = 2
	// MaxOtherDomainBody is the largest body, in bytes, of a request for which PickAfterRefusal chooses: bytes between
	// failure domains have a price, and a few small requests cost as much as one large one.
	MaxOtherDomainBody = 16 << 10
	// refusedTime is how long a host of another failure domain that refused a call is not chosen for calls that are not more
	// important: all domains may be full.
	refusedTime = time.Second
)

// refusal is the last refusal of a call for lack of room by a host.
type refusal struct {
	until time.Time // when it no longer counts
	rank  int
}

// covers reports whether a call of a rank is expected to be refused as well.
func (rfs refusal) covers(now time.Time, rank int) bool {
	return now.Before(rfs.until) && rfs.rank <= rank
}

// Refused records that a host refused a call of a rank for lack of room. While the refusal of a more important call counts,
// it stays.
func (pic *Picker) Refused(now time.Time, id string, rank int) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	if hst := pic.host(id); !now.Before(hst.refusal.until) || rank <= hst.refusal.rank {
		hst.refusal = refusal{until: now.Add(refusedTime), rank: rank}
	}
}

// PickAfterRefusal is PickByWork for a call of a rank that hosts of this failure domain have refused for lack of room: the
// host of the lowest sum is chosen, in whichever failure domain it is. It answers this load: requests come in waves that are
// out of step between failure domains, and the limits of classes refuse those of a full domain before a wait for a slot
// shows that it is full. What goes to another domain is bounded by what would be refused, and each call asks its own first.
func (pic *Picker) PickAfterRefusal(now time.Time, candidates []Candidate, cal Call, tried []string, rank int) (string, bool) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	var best *scored
	list := pic.score(now, pic.eligible(now, candidates, tried), cal, true, jitterFraction)
	for i := range list {
		sco := &list[i]
		if !sco.local && pic.host(sco.id).refusal.covers(now, rank) {
			continue
		}
		if best == nil || sco.sum < best.sum {
			best = sco
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}
