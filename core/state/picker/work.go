package picker

import (
	"time"

	"amaranthline/core/state/cost"
)

const (
	// initialWork is the expected work of a call of a kind of which no host has reported any.
	initialWork = 50 * time.Millisecond
	// speedWeight and workWeight are the weights of one report in the speed of its host and in the work of its kind. The
	// work is shared by all hosts and changes more slowly, so that a host that becomes slow is seen as a slow host.
	speedWeight = 0.2
	workWeight  = 0.02
	// speedHalfLife is that of the difference of a host's speed from that of the others while the host gets no calls.
	speedHalfLife = 2 * time.Second
	minSpeed      = 1.0 / 32
	maxSpeed      = 32
	// maxWorkKinds is how many kinds of calls are known at once; a new one replaces the one that was reported longest ago.
	maxWorkKinds = 512
	// unknownSlots is the number of slots of a host that has not reported any.
	unknownSlots = 16

	// The price of using a host is congestionPrice x usage^6, in units of the call's work: the fastest hosts are used first
	// while there is room, and near the capacity all hosts are used alike. Full hosts slow down, and the waits for their
	// slots lower the limits of classes.
	congestionPrice = 4.3
	maxUsage        = 2
	// usageTime is the time over which the reports of a host's usage are averaged.
	usageTime = 400 * time.Millisecond
	// remoteWaitWeight is the weight of the wait for a slot when hosts in other failure domains are compared with those in
	// this one: a wait shows that the capacity of the failure domain is used up.
	remoteWaitWeight = 20
)

// Call describes a call for which a host is chosen by expected work.
type Call struct {
	service string
	kind    cost.Kind
}

// NewCall describes a call of a kind to a service.
func NewCall(service string, kind cost.Kind) Call { return Call{service: service, kind: kind} }

// Kind returns the kind of the call.
func (cal Call) Kind() cost.Kind { return cal.kind }

// Report is what a host reports on its work with an answer.
type Report struct {
	service time.Duration // expected time in a slot for a call of the kind that was answered; 0 if not known
	wait    time.Duration // expected wait for a slot
	slots   int           // 0 if the host does not report its work
	usage   float64       // calls in slots and queued, as a fraction of the slots
}

// NewReport returns a report: the expected service time of a call of the kind that was answered, or 0 if not known, the
// expected wait for a slot, the number of slots, and the calls in slots and queued as a fraction of them.
func NewReport(service, wait time.Duration, slots int, usage float64) Report {
	return Report{service: service, wait: wait, slots: slots, usage: usage}
}

// workState is what this node knows of the work at one host.
type workState struct {
	speed      float64 // against the other hosts of the service; 0 before the first report
	slots      int
	wait       time.Duration // as last reported
	usage      float64       // as last reported
	meanUsage  float64       // moving average over usageTime
	reportedAt time.Time     // zero before the first report
	inFlight   int           // calls of this node at the host when it reported
}

// kindState is what this node knows of one kind of calls.
type kindState struct {
	work       float64 // expected work at speed 1, in seconds
	reportedAt time.Time
}

// expectedSpeed returns the speed of the host. The time per unit of work decays to that of the other hosts while the host
// gets no calls, so that one that was slow is tried again. While a call of this node is at the host the last report
// counts in full: the call shows what the speed is.
func (hst *hostState) expectedSpeed(now time.Time) float64 {
	speed := hst.work.relativeSpeed()
	if hst.inFlight > 0 || speed == 1 {
		return speed
	}
	return 1 / (1 + (1/speed-1)*decay(now.Sub(hst.work.reportedAt)-reportFreshTime, speedHalfLife))
}

// relativeSpeed returns the speed against the other hosts as last reported, 1 if it is not known.
func (wst *workState) relativeSpeed() float64 {
	if wst.speed == 0 {
		return 1
	}
	return wst.speed
}

// capacity returns the work that the host does in a second, in seconds at speed 1.
func (wst *workState) capacity() float64 {
	slots := wst.slots
	if slots == 0 {
		slots = unknownSlots
	}
	return float64(slots) * wst.relativeSpeed()
}

// expectedWork returns the expected work of a call at speed 1, in seconds.
func (pic *Picker) expectedWork(cal Call) float64 {
	if kst := pic.kinds[cal]; kst != nil {
		return kst.work
	}
	return initialWork.Seconds()
}

// fleetView is what the candidates of one choice have in common.
type fleetView struct {
	work  float64 // expected work of the call at speed 1, in seconds
	usage float64 // mean over the capacity, without calls queued; old reports count less
}

// view sums up the hosts.
func (pic *Picker) view(now time.Time, hosts []*hostState, cal Call) fleetView {
	vie := fleetView{work: pic.expectedWork(cal)}
	reported := 0.0
	for _, hst := range hosts {
		wst := &hst.work
		if !wst.reportedAt.IsZero() {
			weight := wst.capacity() * decay(now.Sub(wst.reportedAt)-reportFreshTime, reportHalfLife)
			reported += weight
			vie.usage += weight * wst.meanUsage
		}
	}
	if reported > 0 {
		vie.usage = min(vie.usage/reported, 1)
	}
	return vie
}

// estimate is the expected completion of a call at a host, term by term, in seconds.
type estimate struct {
	service    float64
	wait       float64
	congestion float64 // price of using the host
	failures   float64 // penalty for failed calls and a cold upstream
	usage      float64 // expected usage of the slots
}

// estimate returns what is expected of the call at a host. The last report counts the less the older it is: after about
// the work of one call the calls that were at the host then have ended, and its average usage says more.
func (pic *Picker) estimate(now time.Time, hst *hostState, vie fleetView) estimate {
	wst := &hst.work
	est := estimate{service: vie.work / hst.expectedSpeed(now), failures: hst.failurePenalty(now)}
	usage := vie.usage
	since := float64(max(hst.inFlight-wst.inFlight, 0))
	slots := wst.capacity() / wst.relativeSpeed()
	if !wst.reportedAt.IsZero() {
		age := now.Sub(wst.reportedAt)
		fresh := decay(age-reportFreshTime, reportHalfLife)
		usage += (wst.meanUsage - vie.usage) * fresh
		usage += (wst.usage - wst.meanUsage) * decay(age, secondsToDuration(est.service))
		est.wait = wst.wait.Seconds() * fresh
		free := max(slots*(1-wst.usage), 0)
		est.wait += max(since-free, 0) * est.service / slots
	}
	usage += since / slots
	est.usage = min(max(usage, 0), maxUsage)
	cubed := est.usage * est.usage * est.usage
	est.congestion = vie.work * congestionPrice * cubed * cubed
	return est
}

// completion returns when the call is expected to be done, with the wait at a weight.
func (est estimate) completion(waitWeight float64) float64 {
	return est.service + waitWeight*est.wait + est.failures
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// scored is a candidate with what is expected of the call there.
type scored struct {
	Candidate
	estimate
	blocked    bool
	sum        float64 // by which the hosts of one failure domain are compared, in seconds
	completion float64 // by which the best hosts of this and other failure domains are compared, in seconds
}

// score returns the eligible candidates with what is expected of a call there; the random part of a sum is at most the
// given fraction of the service time. The result is valid until the next call.
func (pic *Picker) score(now time.Time, eligible []Candidate, cal Call, isRetry bool, jitter float64) []scored {
	hosts := pic.hostsBuf[:0]
	for _, can := range eligible {
		hosts = append(hosts, pic.host(can.id))
	}
	pic.hostsBuf = hosts[:0]
	vie := pic.view(now, hosts, cal)
	out := pic.scoredBuf[:0]
	for i, can := range eligible {
		hst := hosts[i]
		blocked := now.Before(hst.blockedUntil)
		if blocked && isRetry {
			continue
		}
		sco := scored{Candidate: can, estimate: pic.estimate(now, hst, vie), blocked: blocked}
		sco.sum, sco.completion = sco.estimate.completion(1)+sco.congestion, sco.estimate.completion(remoteWaitWeight)
		if jitter > 0 {
			sco.sum += jitter * pic.rng.Float64() * sco.service
		}
		if blocked {
			sco.sum, sco.completion = sco.sum+time.Hour.Seconds(), sco.completion+time.Hour.Seconds()
		}
		out = append(out, sco)
	}
	pic.scoredBuf = out[:0]
	return out
}

// beats reports whether the best host of another failure domain is chosen instead of the best one of this domain.
func (sco *scored) beats(local *scored, remotePenalty time.Duration) bool {
	return local == nil || sco != nil && sco.completion+remotePenalty.Seconds() < local.completion
}

// choose returns the candidate to which a call goes, or nil if there is none.
func choose(list []scored, remotePenalty time.Duration) *scored {
	var local, remote *scored
	for i := range list {
		best := &remote
		if list[i].local {
			best = &local
		}
		if *best == nil || list[i].sum < (*best).sum {
			*best = &list[i]
		}
	}
	if remote.beats(local, remotePenalty) {
		return remote
	}
	return local
}

// PickByWork is Pick by expected completion: the wait for a slot, the service time of the call at the host's speed, and
// the price of using a host that is nearly full. Within a failure domain the host of the lowest sum is chosen. The best
// host of another one is chosen if the call is done there earlier by remotePenalty.
func (pic *Picker) PickByWork(now time.Time, candidates []Candidate, cal Call, tried []string, isRetry bool, remotePenalty time.Duration) (string, bool) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	best := choose(pic.score(now, pic.eligible(now, candidates, tried), cal, isRetry, jitterFraction), remotePenalty)
	if best == nil {
		return "", false
	}
	return best.id, true
}

// Reported records what a host reports on its work with the answer to a call. It follows Done.
func (pic *Picker) Reported(now time.Time, id string, cal Call, rep Report) {
	if rep.slots <= 0 {
		return
	}
	pic.mut.Lock()
	defer pic.mut.Unlock()
	hst := pic.host(id)
	wst := &hst.work
	weight := 1.0
	if !wst.reportedAt.IsZero() {
		weight = max(1-decay(now.Sub(wst.reportedAt), usageTime), 0.05)
	}
	wst.meanUsage += weight * (rep.usage - wst.meanUsage)
	wst.slots, wst.wait, wst.usage, wst.reportedAt, wst.inFlight = rep.slots, rep.wait, rep.usage, now, hst.inFlight
	if rep.service > 0 {
		pic.learnWork(now, wst, cal, rep.service.Seconds())
	}
}

// learnWork takes a reported service time apart into the work of the kind and the speed of the host.
func (pic *Picker) learnWork(now time.Time, wst *workState, cal Call, service float64) {
	kst := pic.kinds[cal]
	if kst == nil {
		if len(pic.kinds) >= maxWorkKinds {
			pic.evictKind()
		}
		kst = &kindState{work: service * wst.relativeSpeed()}
		pic.kinds[cal] = kst
	}
	kst.reportedAt = now
	speed := min(max(kst.work/service, minSpeed), maxSpeed)
	if wst.speed == 0 {
		wst.speed = speed
	}
	wst.speed += speedWeight * (speed - wst.speed)
	kst.work += workWeight * (service*wst.speed - kst.work)
}

// evictKind drops the kind that was reported longest ago.
func (pic *Picker) evictKind() {
	var oldest Call
	var oldestAt time.Time
	for cal, kst := range pic.kinds {
		if oldestAt.IsZero() || kst.reportedAt.Before(oldestAt) {
			oldest, oldestAt = cal, kst.reportedAt
		}
	}
	delete(pic.kinds, oldest)
}

// Speed returns the speed of a host against the others of its service, or false if it has not reported any work.
func (pic *Picker) Speed(id string) (float64, bool) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	hst := pic.hosts[id]
	if hst == nil || hst.work.speed == 0 {
		return 0, false
	}
	return hst.work.speed, true
}
