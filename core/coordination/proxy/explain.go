package proxy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/picker"
	"amaranthline/core/state/rate"
	"amaranthline/core/state/sched"
)

// ExplainRequest describes a request whose placement is explained. It names a key or a team.
type ExplainRequest struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Team   string `json:"team,omitempty"`
	Length int64  `json:"length"`
}

// Explanation says where a root request would go now, and why. Times are in milliseconds.
type Explanation struct {
	Admitted bool   `json:"admitted"`
	Reason   string `json:"reason,omitempty"` // of the refusal
	Detail   string `json:"detail,omitempty"`

	Route     string  `json:"route,omitempty"`
	Class     string  `json:"class,omitempty"`
	Rank      int     `json:"rank"`
	TargetMS  float64 `json:"target_ms"`
	TimeoutMS float64 `json:"timeout_ms"`
	Service   string  `json:"service,omitempty"`
	Kind      string  `json:"kind,omitempty"`

	Team       string `json:"team,omitempty"`
	Rate       string `json:"rate"`        // what would be decided about the team's rate
	TokensHeld int    `json:"tokens_held"` // of the team at this host

	Scheduling string            `json:"scheduling"`
	Candidates []ExplainedHost   `json:"candidates"`
	NotUsed    int               `json:"hosts_not_compared"` // hosts of the service that are not compared
	Chosen     string            `json:"chosen,omitempty"`
	Elsewhere  string            `json:"elsewhere,omitempty"` // what would make the request go to another host
	Own        *ExplainedOwnHost `json:"own_upstream,omitempty"`
}

// ExplainedHost is a candidate with each term of its cost.
type ExplainedHost struct {
	Host            string  `json:"host"`
	Local           bool    `json:"local"`
	State           string  `json:"state"`
	ServiceMS       float64 `json:"service_ms"`
	WaitMS          float64 `json:"wait_ms"`
	CongestionMS    float64 `json:"congestion_ms"`
	FailuresMS      float64 `json:"failures_ms"`
	RemotePenaltyMS float64 `json:"remote_penalty_ms"`
	SumMS           float64 `json:"sum_ms"`
	CompletionMS    float64 `json:"completion_ms"`
	Usage           float64 `json:"usage"`
	Speed           float64 `json:"speed"`
	ReportAgeMS     float64 `json:"report_age_ms"` // -1 without a report
	Chosen          bool    `json:"chosen"`
	MayBeChosen     bool    `json:"may_be_chosen"` // for some random parts of the sums
}

// ExplainedOwnHost is what the own upstream would do with the request, if the request went there.
type ExplainedOwnHost struct {
	Refusal       string  `json:"refusal,omitempty"`
	Slots         int     `json:"slots"`
	InFlight      int     `json:"in_flight"`
	Queued        int     `json:"queued"`
	WaitMS        float64 `json:"wait_ms"`
	ClassLimit    int     `json:"class_limit"`
	ClassInFlight int     `json:"class_in_flight"`
}

func millis(dur time.Duration) float64 { return float64(dur.Microseconds()) / 1000 }

// Explain says where a root request would go now, and why. It sends nothing and takes no token, slot or budget.
func (prx *Proxy) Explain(req ExplainRequest) Explanation {
	out := &outgoing{request: core.NewRequest(core.RequestSpec{
		APIKey: req.Key, Method: req.Method, Path: req.Path, Authority: req.Host, Length: req.Length,
	}), began: prx.clock.Now()}
	exp := Explanation{Scheduling: string(SchedulingLatency), Rate: "not charged"}
	if prx.byWork.Load() {
		exp.Scheduling = string(SchedulingWork)
	}
	if err := prx.resolveRoute(out); err != nil {
		return exp.refused(err)
	}
	cla := out.route.Class()
	out.targetLatency = out.rootTargetLatency()
	exp.Route, exp.Class, exp.Rank = out.route.Name(), cla.Name(), cla.Rank()
	exp.TargetMS, exp.TimeoutMS = millis(out.targetLatency), millis(out.route.Timeout())
	out.setService(prx.splitter.Peek(out.route))
	exp.Service = out.service
	prx.explainHosts(out, &exp)
	if err := prx.explainTeam(out, req.Team, &exp); err != nil {
		return exp.refused(err)
	}
	if exp.Chosen == "" {
		return exp.refused(refuse(core.ReasonNoUpstream, "no host of service %q can be reached", out.service))
	}
	exp.Admitted = true
	return exp
}

// refused returns the explanation of a request that would be refused at this node.
func (exp Explanation) refused(err error) Explanation {
	ref := core.AsRefusal(err)
	exp.Admitted, exp.Reason, exp.Detail = false, string(ref.Reason()), ref.Detail()
	return exp
}

// explainTeam identifies the team of a request and says what would be decided about its rate. A request that names a team
// instead of a key counts as one with a valid key of the team.
func (prx *Proxy) explainTeam(out *outgoing, team string, exp *Explanation) error {
	if team != "" {
		if out.snapshot.Team(team) == nil {
			return refuse(core.ReasonBadRequest, "team %q is not declared", team)
		}
		if prx.Draining() {
			return refuse(core.ReasonDraining, "this host is draining")
		}
	} else {
		key, err := prx.identify(out)
		if err != nil {
			return err
		}
		if key == nil {
			return nil
		}
		team = key.Team().Name()
	}
	exp.Team = team
	var dec rate.Decision
	dec, exp.TokensHeld = prx.limiter.Peek(prx.clock.Now(), team)
	switch dec {
	case rate.Admitted:
		exp.Rate = "within the rate"
	case rate.NeedsToken:
		exp.Rate = "a granter is asked for a token"
	case rate.Refused:
		exp.Rate = "above the rate"
		return rateRefusal(team, 0)
	}
	return nil
}

// explainHosts says at which host the request would be tried first.
func (prx *Proxy) explainHosts(out *outgoing, exp *Explanation) {
	now := prx.clock.Now()
	cans := (*prx.currentCandidates(out.snapshot))[out.service]
	penalty := picker.RemotePenalty(out.targetLatency, out.nested())
	var list []picker.Placement
	if prx.byWork.Load() {
		exp.Kind = out.placed.Kind().String()
		list = prx.picker.ExplainByWork(now, cans, out.placed, penalty)
	} else {
		list = prx.picker.Explain(now, cans, penalty)
	}
	exp.NotUsed = len(cans) - len(list)
	for _, pla := range list {
		exp.Candidates = append(exp.Candidates, ExplainedHost{
			Host: pla.ID(), Local: pla.Local(), State: pla.State(), ServiceMS: millis(pla.Service()), WaitMS: millis(pla.Wait()),
			CongestionMS: millis(pla.Congestion()), FailuresMS: millis(pla.Failures()), RemotePenaltyMS: millis(pla.RemotePenalty()),
			SumMS: millis(pla.Sum()), CompletionMS: millis(pla.Completion()), Usage: pla.Usage(), Speed: pla.Speed(),
			ReportAgeMS: max(millis(pla.ReportAge()), -1), Chosen: pla.Chosen(), MayBeChosen: pla.MayBeChosen(),
		})
	}
	slices.SortStableFunc(exp.Candidates, func(one, two ExplainedHost) int { return cmp.Compare(one.SumMS, two.SumMS) })
	for _, hos := range exp.Candidates {
		if hos.Chosen {
			exp.Chosen = hos.Host
		}
	}
	exp.Elsewhere = exp.elsewhere()
	if out.service == prx.settings.Service {
		exp.Own = prx.explainOwn(out)
	}
}

// elsewhere says what would make the request go to another host than the chosen one.
func (exp *Explanation) elsewhere() string {
	idx := slices.IndexFunc(exp.Candidates, func(hos ExplainedHost) bool { return hos.Chosen })
	if idx < 0 {
		return ""
	}
	chosen, text := exp.Candidates[idx], ""
	for _, hos := range exp.Candidates {
		comparable := exp.Scheduling == string(SchedulingLatency) || hos.Local == chosen.Local
		if !hos.Chosen && comparable {
			text = fmt.Sprintf("%s, if the sum of %s rises by %.1f ms", hos.Host, chosen.Host, hos.SumMS-chosen.SumMS)
			break
		}
	}
	if exp.Scheduling == string(SchedulingLatency) {
		return text
	}
	for _, hos := range exp.Candidates { // in order of their sums: the first of the other side is its best
		if hos.Local == chosen.Local {
			continue
		}
		margin := hos.CompletionMS + hos.RemotePenaltyMS - chosen.CompletionMS - chosen.RemotePenaltyMS
		if text != "" {
			text += "; "
		}
		return text + fmt.Sprintf("%s, if the completion at %s rises by %.1f ms", hos.Host, chosen.Host, margin)
	}
	return text
}

// explainOwn says what the own upstream would do with the request.
func (prx *Proxy) explainOwn(out *outgoing) *ExplainedOwnHost {
	now := prx.clock.Now()
	own := &ExplainedOwnHost{}
	own.Slots, own.InFlight, own.Queued = prx.queue.slotUsage()
	own.WaitMS = millis(prx.ownWork.wait(now, own.Slots-own.InFlight, own.Queued))
	own.ClassLimit, own.ClassInFlight = prx.queue.classLimit(now, out.route.Class().Name())
	if ref := prx.upstream.refusal(); ref != nil {
		own.Refusal = ref.Detail()
	} else if own.ClassInFlight >= own.ClassLimit {
		own.Refusal = refusalFor(sched.ClassLimitReached).Detail()
	}
	return own
}
