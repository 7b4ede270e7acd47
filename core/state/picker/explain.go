package picker

import (
	"time"
)

// Placement is a candidate for a call with each term of what is expected there.
type Placement struct {
	candidate     Candidate
	state         string
	service       time.Duration
	wait          time.Duration
	congestion    time.Duration
	failures      time.Duration
	remotePenalty time.Duration
	sum           time.Duration
	completion    time.Duration
	usage         float64
	speed         float64
	reportAge     time.Duration
	chosen        bool
	mayBeChosen   bool
}

// ID returns the ID of the host.
func (pla Placement) ID() string { return pla.candidate.id }

// Local reports whether the host is in the caller's failure domain.
func (pla Placement) Local() bool { return pla.candidate.local }

// State says whether the host is available, leaving or blocked.
func (pla Placement) State() string { return pla.state }

// Service returns the expected service time of the call, or by latency the latency that the host reported.
func (pla Placement) Service() time.Duration { return pla.service }

// Wait returns the expected wait for a slot; it is 0 by latency.
func (pla Placement) Wait() time.Duration { return pla.wait }

// Congestion returns the price of using the host; it is 0 by latency.
func (pla Placement) Congestion() time.Duration { return pla.congestion }

// Failures returns the penalty for failed calls and a cold upstream.
func (pla Placement) Failures() time.Duration { return pla.failures }

// RemotePenalty returns by how much earlier the call must be done at a host of another failure domain.
func (pla Placement) RemotePenalty() time.Duration { return pla.remotePenalty }

// Sum returns the figure by which hosts are compared, without its random part; by work only those of one failure domain.
func (pla Placement) Sum() time.Duration { return pla.sum }

// Completion returns the figure by which the best hosts of this and other failure domains are compared.
func (pla Placement) Completion() time.Duration { return pla.completion }

// Usage returns the expected calls in slots and queued as a fraction of the slots; it is 0 by latency.
func (pla Placement) Usage() float64 { return pla.usage }

// Speed returns the expected speed against the other hosts of the service; it is 0 by latency.
func (pla Placement) Speed() float64 { return pla.speed }

// ReportAge returns the age of the last report, or a negative duration if there is none.
func (pla Placement) ReportAge() time.Duration { return pla.reportAge }

// Chosen reports whether the call goes to the host if the random parts of all sums are equal.
func (pla Placement) Chosen() bool { return pla.chosen }

// MayBeChosen reports whether the call goes to the host for some random parts of the sums.
func (pla Placement) MayBeChosen() bool { return pla.mayBeChosen }

var availabilityNames = [...]string{"available", "leaving", "blocked", "draining"}

func reportAge(now, reportedAt time.Time) time.Duration {
	if reportedAt.IsZero() {
		return -1
	}
	return now.Sub(reportedAt)
}

// ExplainByWork returns the candidates that PickByWork compares for a first attempt, with each term. It changes nothing
// and draws no random number.
func (pic *Picker) ExplainByWork(now time.Time, candidates []Candidate, cal Call, remotePenalty time.Duration) []Placement {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	list := pic.score(now, pic.eligible(now, candidates, nil), cal, false, 0)
	best := choose(list, remotePenalty)
	out := make([]Placement, 0, len(list))
	for i := range list {
		sco := &list[i]
		hst := pic.host(sco.id)
		pla := Placement{
			candidate: sco.Candidate, state: availabilityNames[hst.availability(now)], service: secondsToDuration(sco.service),
			wait: secondsToDuration(sco.wait), congestion: secondsToDuration(sco.congestion), failures: secondsToDuration(sco.failures),
			sum: secondsToDuration(sco.sum), completion: secondsToDuration(sco.completion), usage: sco.usage, speed: hst.expectedSpeed(now),
			reportAge: reportAge(now, hst.work.reportedAt), chosen: sco == best, mayBeChosen: mayBeChosen(list, sco, remotePenalty),
		}
		if !sco.local {
			pla.remotePenalty = remotePenalty
		}
		out = append(out, pla)
	}
	return out
}

// mayBeBest reports whether some random parts make a host the best one of its side.
func mayBeBest(list []scored, sco *scored) bool {
	for i := range list {
		if oth := &list[i]; oth.local == sco.local && oth.sum+jitterFraction*oth.service < sco.sum {
			return false
		}
	}
	return true
}

// mayBeChosen reports whether some random parts make PickByWork choose a host.
func mayBeChosen(list []scored, sco *scored, remotePenalty time.Duration) bool {
	if !mayBeBest(list, sco) {
		return false
	}
	others := 0
	for i := range list {
		oth := &list[i]
		if oth.local == sco.local || !mayBeBest(list, oth) {
			continue
		}
		others++
		local, remote := oth, sco
		if sco.local {
			local, remote = sco, oth
		}
		if remote.beats(local, remotePenalty) != sco.local {
			return true
		}
	}
	return others == 0
}

// Explain returns the candidates that Pick compares for a first attempt, with each term. It changes nothing and draws no
// random number.
func (pic *Picker) Explain(now time.Time, candidates []Candidate, remotePenalty time.Duration) []Placement {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	eligible := pic.eligible(now, candidates, nil)
	out := make([]Placement, 0, len(eligible))
	best, least := 0, 0.0
	for i, can := range eligible {
		hst := pic.host(can.id)
		cost, extra := hst.cost(now), 0.0
		pla := Placement{
			candidate: can, state: availabilityNames[hst.availability(now)], failures: secondsToDuration(hst.failurePenalty(now)),
			reportAge: reportAge(now, hst.reportedAt),
		}
		pla.service = secondsToDuration(cost) - pla.failures
		if !can.local {
			pla.remotePenalty = remotePenalty
			extra += remotePenalty.Seconds()
		}
		if now.Before(hst.blockedUntil) {
			extra += time.Hour.Seconds()
		}
		pla.sum = secondsToDuration(cost + extra)
		pla.completion = pla.sum
		if highest := cost*(1+jitterFraction) + extra; i == 0 || highest < least {
			least = highest
		}
		out = append(out, pla)
		if pla.sum < out[best].sum {
			best = i
		}
	}
	for i := range out {
		out[i].chosen, out[i].mayBeChosen = i == best, out[i].sum <= secondsToDuration(least)
	}
	return out
}
