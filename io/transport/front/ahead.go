package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/ahead"
	"amaranthline/core/state/memory"
	"amaranthline/io/transport/inlet"
)

const (
	// aheadAnswerBytes bounds what it holds of one answer, and so of a connection's answers, of which there are fewer than
	// ahead.MaxPerConnection.
	aheadAnswerBytes = 64 << 10
	// begunBytes is what a begun request costs without the body of its answer: its head and the stacks of the goroutines that
	// serve it, those of its attempt included. Requests whose head costs more than memory.FreeBytes wait for their turn.
	begunBytes = memory.FreeBytes + 32<<10
)

// overloadReasons are the refusals that lower the limit of requests in work for each connection.
var overloadReasons = map[core.Reason]bool{
	core.ReasonOverload: true, core.ReasonUpstreamShed: true, core.ReasonCold: true, core.ReasonDependencyCold: true,
}

// AheadStats counts the requests that were begun while others before them on their connections were not answered.
type AheadStats struct {
	begun     uint64
	restarted uint64
	discarded uint64
	waiting   int
	lowered   int
}

// Begun returns how many requests were begun ahead of their turn.
func (ast AheadStats) Begun() uint64 { return ast.begun }

// Restarted returns how many of them were refused for overload ahead of their turn, and begun again in it.
func (ast AheadStats) Restarted() uint64 { return ast.restarted }

// Discarded returns how many of them were given up, because their caller left or an answer before theirs broke off.
func (ast AheadStats) Discarded() uint64 { return ast.discarded }

// Waiting returns how many of them wait for their turn now.
func (ast AheadStats) Waiting() int { return ast.waiting }

// Lowered returns the number of routes on which a connection may have fewer requests in work, because of overload.
func (ast AheadStats) Lowered() int { return ast.lowered }

// beginner begins further requests of connections ahead of their turn; it implements inlet.Ahead.
type beginner struct {
	frontend *Frontend
	routes   core.RouteLookup // nil if the handler cannot tell which requests are idempotent
	memory   budget
	begun    atomic.Uint64
	restarts atomic.Uint64
	discards atomic.Uint64

	mut     sync.Mutex
	limiter *ahead.Limiter
}

func newBeginner(fro *Frontend, set Settings) *beginner {
	bgn := &beginner{frontend: fro, memory: fro.limits.Requests(), limiter: ahead.New()}
	bgn.routes, _ = set.Handler.(core.RouteLookup)
	return bgn
}

// MayPass reports whether requests behind this one may be begun before it is answered: it is idempotent, and its body
// cannot be mistaken for one of them.
func (bgn *beginner) MayPass(hrq *http.Request) bool {
	if hrq.ContentLength != 0 || !hrq.ProtoAtLeast(1, 1) {
		return false
	}
	_, route := bgn.parse(hrq)
	return route != ""
}

// parse returns an idempotent request and its route, or "" for any other request.
func (bgn *beginner) parse(hrq *http.Request) (req *core.Request, route string) {
	if bgn.routes == nil || headerBytes(hrq) > bgn.frontend.bounds.At(time.Now()).HeaderBytes {
		return nil, ""
	}
	spec, ref := bgn.frontend.dialect.ParseRequest(hrq)
	if ref != nil {
		return nil, ""
	}
	spec.Method = hrq.Method
	req = core.NewRequest(spec)
	name, idempotent := bgn.routes.LookUpRoute(req)
	if !idempotent {
		return nil, ""
	}
	return req, name
}

// Begin begins an idempotent request if the limits allow it and the node is not draining.
func (bgn *beginner) Begin(ctx context.Context, hrq *http.Request, unanswered int) inlet.Begun {
	if bgn.frontend.draining.Load() {
		return nil
	}
	req, route := bgn.parse(hrq)
	if route == "" || !bgn.memory.Reserve(begunBytes) {
		return nil
	}
	bgn.mut.Lock()
	allowed := bgn.limiter.Begin(time.Now(), route, unanswered)
	bgn.mut.Unlock()
	if !allowed {
		bgn.memory.Release(begunBytes)
		return nil
	}
	bgn.begun.Add(1)
	beg := &begun{beginner: bgn, budget: bgn.answerBudget(), attemptID: req.AttemptID(), ready: make(chan struct{})}
	beg.ctx, beg.cancel = context.WithCancel(ctx)
	go beg.run(req)
	return beg
}

// answerBudget returns the budget of one answer.
func (bgn *beginner) answerBudget() budget { return budgets{bgn.memory, memory.New(aheadAnswerBytes)} }

// noteRefusal lowers the limit of the route of a request that was refused for overload.
func (bgn *beginner) noteRefusal(req *core.Request, ref *core.Refusal) {
	if bgn.routes == nil || !overloadReasons[ref.Reason()] {
		return
	}
	route, idempotent := bgn.routes.LookUpRoute(req)
	if !idempotent {
		return
	}
	bgn.mut.Lock()
	first := bgn.limiter.Refused(time.Now(), route)
	bgn.mut.Unlock()
	if log := bgn.frontend.eventLog; first && log != nil && log.Enabled(limitEvent) {
		log.Note(limitEvent, req.AttemptID(), map[string]any{"route": route, "reason": string(ref.Reason())})
	}
}

const (
	limitEvent   = "fewer requests of a connection begun ahead"
	discardEvent = "request begun ahead given up"
)

// AheadStats returns the counts of requests that were begun ahead of their turn.
func (fro *Frontend) AheadStats() AheadStats {
	bgn := fro.beginner
	bgn.mut.Lock()
	defer bgn.mut.Unlock()
	return AheadStats{
		begun: bgn.begun.Load(), restarted: bgn.restarts.Load(), discarded: bgn.discards.Load(),
		waiting: bgn.limiter.Begun(), lowered: bgn.limiter.Lowered(time.Now()),
	}
}

// begun is a request that runs, or has run, ahead of its turn.
type begun struct {
	beginner  *beginner
	budget    budget
	attemptID string
	ctx       context.Context
	cancel    context.CancelFunc

	ready    chan struct{} // closed once the fields below are set
	ans      *core.Answer  // nil if err is not
	body     *spool
	held     int // bytes of the budget that a long answer holds beside those in body
	err      error
	panicked any // what the handler panicked with
}

// run serves the request and reads its answer as far as the budget allows. A panic of the handler is raised again in the
// request's turn, where net/http logs it and ends only this connection.
func (beg *begun) run(req *core.Request) {
	fro := beg.beginner.frontend
	defer func() {
		if cause := recover(); cause != nil {
			beg.panicked = cause
			close(beg.ready)
		}
	}()
	ans, err := fro.handle(beg.ctx, req)
	if err != nil {
		beg.err = err
		beg.beginner.noteRefusal(req, core.AsRefusal(err))
		close(beg.ready)
		return
	}
	if ans.HasRest() {
		size := answerBytes(ans)
		if !beg.beginner.memory.Reserve(size) {
			_ = ans.Body().Close()
			beg.err = longAnswerRefusal()
			fro.observer.Refused(core.ReasonTruncated, "", "")
			close(beg.ready)
			return
		}
		beg.held = size
	}
	beg.body = newSpool(ans.Body(), ans.Header(), beg.budget)
	beg.ans = ans.WithBody(beg.body)
	close(beg.ready)
	go beg.body.fill()
}

// endWait counts the request out of those that wait for their turn.
func (beg *begun) endWait() {
	beg.beginner.mut.Lock()
	beg.beginner.limiter.End()
	beg.beginner.mut.Unlock()
}

// Discard ends the request unanswered.
func (beg *begun) Discard() {
	beg.endWait()
	beg.beginner.discards.Add(1)
	if log := beg.beginner.frontend.eventLog; log != nil && log.Enabled(discardEvent) {
		log.Note(discardEvent, beg.attemptID, nil)
	}
	go beg.end()
}

// end cancels the request, if it is still running, and frees what it holds.
func (beg *begun) end() {
	beg.cancel()
	<-beg.ready
	if beg.body != nil {
		_ = beg.body.Close() // nobody reads it
	}
	beg.beginner.memory.Release(begunBytes + beg.held)
}

// answer waits for the answer in the request's turn. It returns neither answer nor error if the request was refused for
// overload ahead of its turn: it has not run, and is served as if it had waited.
func (beg *begun) answer(ctx context.Context) (*core.Answer, error) {
	beg.endWait()
	stop := context.AfterFunc(ctx, beg.cancel)
	defer stop()
	<-beg.ready
	if beg.panicked != nil {
		panic(beg.panicked)
	}
	if beg.err != nil {
		ref := core.AsRefusal(beg.err)
		if ref.Outcome() == core.OutcomeNotRun && overloadReasons[ref.Reason()] && ctx.Err() == nil {
			beg.beginner.restarts.Add(1)
			return nil, nil
		}
		return nil, beg.err
	}
	return beg.ans, nil
}
