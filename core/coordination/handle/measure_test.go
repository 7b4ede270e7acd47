package handle_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthline/core"
)

const (
	measureSeed        = 20261204
	deepestSlots       = 20
	deepestServiceTime = 40 * time.Millisecond
	deepestHostCount   = 2
	capacity           = deepestHostCount * deepestSlots * float64(time.Second) / float64(deepestServiceTime) // requests per second
	baseLoad           = 0.8                                                                                  // share of the capacity
	confirmShare       = 0.05                                                                                 // share of requests of class confirm in the load
	clientRetries      = 3
	bucketWidth        = 100 * time.Millisecond
	recoveryWindow     = 500 * time.Millisecond

	// A disturbance is a slowdown, a surge or a restart, by scenario; the times count from the start of the run.
	disturbanceStart = 8 * time.Second
	disturbanceEnd   = 14 * time.Second
	runEnd           = 19 * time.Second
)

// The goals of docs/design.md: least share of the capacity, longest recovery, least share of answered requests
// of each team, and greatest share of refused requests while nothing is overloaded.
const (
	goalGoodput       = 0.95
	goalRecovery      = 2 * time.Second
	goalTeamShare     = 0.95
	goalFalseRefusals = 0.001
)

// newChain returns a chain of services with ample capacity except the deepest one, which is the bottleneck.
func newChain(depth int) []serviceSpec {
	chain := make([]serviceSpec, depth)
	for idx := range chain {
		chain[idx] = serviceSpec{slots: 100, meanServiceTime: 2 * time.Millisecond}
	}
	chain[depth-1] = serviceSpec{slots: deepestSlots, meanServiceTime: deepestServiceTime}
	return chain
}

// loadStream is the load of one team and class, as a multiple of the capacity of the deepest service.
type loadStream struct {
	team   string
	class  string
	loadAt func(at time.Duration) float64
}

// constantLoad returns a load that does not change during the run.
func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// loadDuring returns a load that differs from base during the disturbance.
func loadDuring(base, disturbed float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= disturbanceStart && at < disturbanceEnd {
			return disturbed
		}
		return base
	}
}

// loadFrom returns a load that differs from base from the start of the disturbance to the end of the run.
func loadFrom(base, disturbed float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= disturbanceStart {
			return disturbed
		}
		return base
	}
}

// bucketCounts counts the requests of a bucket of time.
type bucketCounts struct {
	offered         int           // requests first sent in the bucket
	answered        int           // offered requests with a whole answer to any send, within targetLatency from the first send
	firstSendFailed int           // offered requests whose first send got no whole answer
	serviceTime     time.Duration // at the deepest service, for whole answers that arrived in the bucket
}

func (bco *bucketCounts) add(other bucketCounts) {
	bco.offered += other.offered
	bco.answered += other.answered
	bco.firstSendFailed += other.firstSendFailed
	bco.serviceTime += other.serviceTime
}

// answeredShare returns the answered requests divided by the offered ones.
func (bco bucketCounts) answeredShare() float64 {
	return float64(bco.answered) / float64(max(bco.offered, 1))
}

// streamCounts holds the counts of each stream by bucket.
type streamCounts struct {
	mut     sync.Mutex
	buckets map[string][]bucketCounts
}

// update changes the counts of a stream in the bucket of a time.
func (stc *streamCounts) update(str loadStream, at time.Duration, count func(bco *bucketCounts)) {
	stc.mut.Lock()
	defer stc.mut.Unlock()
	name := str.team + "/" + str.class
	idx := int(at / bucketWidth)
	for len(stc.buckets[name]) <= idx {
		stc.buckets[name] = append(stc.buckets[name], bucketCounts{})
	}
	count(&stc.buckets[name][idx])
}

// sum adds up the counts between two times of the streams of a team and a class; "" stands for all of them.
func (stc *streamCounts) sum(team, class string, begin, end time.Duration) bucketCounts {
	var sum bucketCounts
	for name, buckets := range stc.buckets {
		if !strings.HasPrefix(name, team) || !strings.HasSuffix(name, class) {
			continue
		}
		for idx := int(begin / bucketWidth); idx < min(int(end/bucketWidth), len(buckets)); idx++ {
			sum.add(buckets[idx])
		}
	}
	return sum
}

// goodput returns the service time of whole answers divided by the slot time of the deepest service.
func (stc *streamCounts) goodput(begin, end time.Duration) float64 {
	sum := stc.sum("", "", begin, end)
	return float64(sum.serviceTime) / float64((end-begin)*deepestHostCount*deepestSlots)
}

// recoveryTime returns the time from the end of the disturbance to the end of the first window that reaches the goal for
// goodput or for answered requests, or -1 when no window of the run does.
func (stc *streamCounts) recoveryTime(wantGoodput float64) time.Duration {
	for at := disturbanceEnd; at+recoveryWindow <= runEnd; at += bucketWidth {
		sum := stc.sum("", "", at, at+recoveryWindow)
		if stc.goodput(at, at+recoveryWindow) >= goalGoodput*wantGoodput || sum.answeredShare() >= goalGoodput {
			return at + recoveryWindow - disturbanceEnd
		}
	}
	return -1
}

// runResult is what a run of a scenario counted.
type runResult struct {
	streamCounts
	peakInFlight    int // calls in flight at the first upstream of the deepest service since its last change of speed
	maxAttempts     int // most attempts at the deepest service for one root request
	deepestAttempts int // attempts at the deepest service
	refusals        map[core.Reason]int
}

// scenario is a load and a disturbance.
type scenario struct {
	depth            int
	streams          []loadStream
	startDisturbance func(fle *fleet)
	endDisturbance   func(fle *fleet)
}

// run runs a scenario in virtual time.
func (sce scenario) run(t *testing.T, isBaseline bool) *runResult {
	t.Helper()
	res := &runResult{streamCounts: streamCounts{buckets: map[string][]bucketCounts{}}, refusals: map[core.Reason]int{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fle := newFleet(ctx, t, newChain(sce.depth), []string{"ann", "bob", "cat"}, measureSeed, isBaseline)
		var grp sync.WaitGroup
		for idx, str := range sce.streams {
			cli := &client{fle: fle, str: str, res: res, start: time.Now(), rng: rand.New(rand.NewPCG(measureSeed, uint64(idx)))}
			grp.Go(func() { cli.run(ctx) })
		}
		time.Sleep(disturbanceStart)
		sce.startDisturbance(fle)
		time.Sleep(disturbanceEnd - disturbanceStart)
		sce.endDisturbance(fle)
		grp.Wait()
		cancel()
		for _, hos := range fle.deepestHosts() {
			res.deepestAttempts += hos.upstream.received
			for _, count := range hos.upstream.attemptsByRoot {
				res.maxAttempts = max(res.maxAttempts, count)
			}
		}
		res.peakInFlight = fle.deepestHosts()[0].upstream.peakInFlight
		for _, hos := range fle.ordered {
			for reason, count := range hos.observer.refusals {
				res.refusals[reason] += count
			}
		}
	})
	return res
}

// client sends the requests of a stream and retries each failed one without a pause.
type client struct {
	fle   *fleet
	str   loadStream
	res   *runResult
	start time.Time
	rng   *rand.Rand
	grp   sync.WaitGroup
}

// run sends the requests at random intervals until runEnd and waits for their answers.
func (cli *client) run(ctx context.Context) {
	hosts := cli.fle.hostsOf(serviceName(0))
	next := time.Duration(0)
	for {
		next += time.Duration(cli.rng.ExpFloat64() / (cli.str.loadAt(next) * capacity) * float64(time.Second))
		if next >= runEnd {
			break
		}
		time.Sleep(time.Until(cli.start.Add(next)))
		hos := hosts[cli.rng.IntN(len(hosts))]
		at := next
		cli.grp.Go(func() { cli.sendWithRetries(ctx, hos, at) })
	}
	cli.grp.Wait()
}

// sendWithRetries sends a request that is first due at a time, retries it until it is answered or clientRetries is used
// up, and counts the outcome.
func (cli *client) sendWithRetries(ctx context.Context, hos *host, at time.Duration) {
	cli.res.update(cli.str, at, func(bco *bucketCounts) { bco.offered++ })
	for sent := range clientRetries + 1 {
		serviceTime, ok := cli.sendOnce(ctx, hos)
		if ok && time.Since(cli.start)-at <= targetLatency {
			cli.res.update(cli.str, at, func(bco *bucketCounts) { bco.answered++ })
			cli.res.update(cli.str, time.Since(cli.start), func(bco *bucketCounts) { bco.serviceTime += serviceTime })
		}
		if ok {
			return
		}
		if sent == 0 {
			cli.res.update(cli.str, at, func(bco *bucketCounts) { bco.firstSendFailed++ })
		}
	}
}

// sendOnce sends one request and returns its service time at the deepest service, and whether its whole answer with status
// 200 arrived.
func (cli *client) sendOnce(ctx context.Context, hos *host) (time.Duration, bool) {
	if cli.fle.awaitNetworkDelay(ctx) != nil {
		return 0, false
	}
	req := core.NewRequest(core.RequestSpec{
		APIKey: cli.str.team + "-key", Service: serviceName(0), Method: http.MethodGet, Path: "/" + cli.str.class, Header: http.Header{},
	})
	var entry core.EntryHandler = hos.handler
	if cli.fle.isBaseline {
		entry = &baselineEntry{fle: cli.fle}
	}
	ans, err := entry.ServeRoot(ctx, req)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, ans.Body())
	_ = ans.Body().Close()
	if err != nil || ans.Status() != http.StatusOK {
		return 0, false
	}
	serviceTime, _ := strconv.ParseInt(ans.Header().Get(serviceTimeHeader), 10, 64)
	return time.Duration(serviceTime), true
}

// slowDeepest makes the deepest service ten times as slow.
func slowDeepest(fle *fleet) {
	for _, hos := range fle.deepestHosts() {
		hos.upstream.setSlowdown(10)
	}
}

// restoreDeepest ends what slowDeepest began.
func restoreDeepest(fle *fleet) {
	for _, hos := range fle.deepestHosts() {
		hos.upstream.setSlowdown(1)
	}
}

// restartCold restarts one upstream of the deepest service, which is then four times as slow to the end of the run.
func restartCold(fle *fleet) {
	hos := fle.deepestHosts()[0]
	hos.handler.UpstreamCrashed()
	hos.upstream.setSlowdown(4)
}

func noDisturbance(*fleet) {}

// slowdownScenario slows the deepest service down during the disturbance and applies the load from then to the end of the
// run; it applies baseLoad before.
func slowdownScenario(depth int, load float64) scenario {
	sce := scenario{depth: depth, startDisturbance: slowDeepest, endDisturbance: restoreDeepest}
	for _, team := range []string{"ann", "bob"} {
		sce.streams = append(
			sce.streams,
			loadStream{team, "confirm", loadFrom(baseLoad*confirmShare/2, load*confirmShare/2)},
			loadStream{team, "read", loadFrom(baseLoad*(1-confirmShare)/2, load*(1-confirmShare)/2)},
		)
	}
	return sce
}

// surgeScenario lets one of three teams send ten times its usual load.
func surgeScenario() scenario {
	const baseShare = 0.25
	return scenario{depth: 3, startDisturbance: noDisturbance, endDisturbance: noDisturbance, streams: []loadStream{
		{"ann", "read", constantLoad(baseShare)},
		{"bob", "read", constantLoad(baseShare)},
		{"cat", "read", loadDuring(baseShare, 10*baseShare)},
	}}
}

// coldScenario restarts one upstream, which is then cold.
func coldScenario() scenario {
	sce := slowdownScenario(3, baseLoad)
	sce.startDisturbance, sce.endDisturbance = restartCold, noDisturbance
	return sce
}

func formatPercent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func formatSeconds(elapsed time.Duration) string {
	if elapsed < 0 {
		return "not in the run"
	}
	return fmt.Sprintf("%.1f s", elapsed.Seconds())
}

// checkGoal reports a missed goal, unless the run was of the baseline system.
func checkGoal(t *testing.T, isBaseline, ok bool, format string, args ...any) {
	t.Helper()
	if !isBaseline && !ok {
		t.Errorf(format, args...)
	}
}

// versionName returns the name of the system under test in logs and in the names of subtests.
func versionName(isBaseline bool) string {
	if isBaseline {
		return "naive"
	}
	return "ours"
}

// The deepest service becomes ten times slower while clients retry failed requests without a pause. Guards against
// collapse under retries, against shedding of the important class confirm before the class read, and against a slow
// recovery.
func TestMeasureSlowdown(t *testing.T) {
	for _, depth := range []int{3, 6} {
		for _, load := range []float64{0.8, 2, 10} {
			for _, isBaseline := range []bool{false, true} {
				t.Run(fmt.Sprintf("depth=%d/load=%v/%s", depth, load, versionName(isBaseline)), func(t *testing.T) {
					t.Parallel()
					reportSlowdown(t, slowdownScenario(depth, load).run(t, isBaseline), depth, load, isBaseline)
				})
			}
		}
	}
}

// reportSlowdown logs the result of a run with slowdownScenario and checks it against the goals.
func reportSlowdown(t *testing.T, res *runResult, depth int, load float64, isBaseline bool) {
	t.Helper()
	before := res.sum("", "", disturbanceStart-3*time.Second, disturbanceStart)
	falseRefusals := float64(before.firstSendFailed) / float64(before.offered)
	during := res.goodput(disturbanceStart, disturbanceEnd)
	after := res.goodput(disturbanceEnd+goalRecovery, runEnd)
	recovery := res.recoveryTime(1)
	confirm, read := res.sum("", "confirm", disturbanceStart, disturbanceEnd), res.sum("", "read", disturbanceStart, disturbanceEnd)
	offered := res.sum("", "", 0, runEnd).offered
	t.Logf("| %d | %gx | %s | %s | %s | %s | %s | %s | %s | %.2f (%d) |", depth, load, versionName(isBaseline), formatPercent(during), formatPercent(after),
		formatSeconds(recovery), formatPercent(confirm.answeredShare()), formatPercent(read.answeredShare()), formatPercent(falseRefusals), float64(res.deepestAttempts)/float64(offered), res.maxAttempts)
	t.Logf("refused %v", res.refusals)
	checkGoal(t, isBaseline, during >= goalGoodput, "goodput during the slowdown %s, want at least %s", formatPercent(during), formatPercent(goalGoodput))
	checkGoal(t, isBaseline, after >= goalGoodput*min(load, 1), "goodput after the slowdown %s, want at least %s", formatPercent(after), formatPercent(goalGoodput*min(load, 1)))
	checkGoal(t, isBaseline, recovery >= 0 && recovery <= goalRecovery, "recovery time %s, want at most %s", formatSeconds(recovery), formatSeconds(goalRecovery))
	checkGoal(t, isBaseline, confirm.answeredShare() >= goalGoodput || read.answered == 0, "requests of class confirm answered %s while requests of class read were answered", formatPercent(confirm.answeredShare()))
	checkGoal(t, isBaseline, falseRefusals < goalFalseRefusals, "refused before the slowdown %s, want below %s", formatPercent(falseRefusals), formatPercent(goalFalseRefusals))
	checkGoal(t, isBaseline, res.maxAttempts <= 3, "%d attempts at the deepest service for one root request, want at most 3", res.maxAttempts)
}

// One team of three sends ten times its usual load. Guards against requests of the other teams that are not answered,
// against unused capacity, and against refusals that go on after the surge.
func TestMeasureSurge(t *testing.T) {
	for _, isBaseline := range []bool{false, true} {
		res := surgeScenario().run(t, isBaseline)
		worst := min(res.sum("ann", "read", disturbanceStart, disturbanceEnd).answeredShare(), res.sum("bob", "read", disturbanceStart, disturbanceEnd).answeredShare())
		goodput := res.goodput(disturbanceStart, disturbanceEnd)
		afterSurge := res.sum("cat", "read", disturbanceEnd+goalRecovery, runEnd)
		falseRefusals := float64(afterSurge.firstSendFailed) / float64(afterSurge.offered)
		t.Logf("| surge | %s | worst-served %s | goodput %s | refused after it %s |", versionName(isBaseline), formatPercent(worst), formatPercent(goodput), formatPercent(falseRefusals))
		t.Logf("refused %v", res.refusals)
		checkGoal(t, isBaseline, worst >= goalTeamShare, "worst-served team answered %s, want at least %s", formatPercent(worst), formatPercent(goalTeamShare))
		checkGoal(t, isBaseline, goodput >= goalGoodput, "goodput during the surge %s, want at least %s", formatPercent(goodput), formatPercent(goalGoodput))
		checkGoal(t, isBaseline, falseRefusals < goalFalseRefusals, "refused after the surge %s, want below %s", formatPercent(falseRefusals), formatPercent(goalFalseRefusals))
	}
}

// An upstream restarts and is four times as slow from then on. Guards against more calls in flight than it has slots.
func TestMeasureCold(t *testing.T) {
	for _, isBaseline := range []bool{false, true} {
		res := coldScenario().run(t, isBaseline)
		during := res.sum("", "", disturbanceStart, disturbanceEnd)
		t.Logf("| cold | %s | peak %d of %d slots | answered %s |", versionName(isBaseline), res.peakInFlight, deepestSlots, formatPercent(during.answeredShare()))
		checkGoal(t, isBaseline, res.peakInFlight <= deepestSlots, "%d calls in flight at a cold upstream, want at most %d", res.peakInFlight, deepestSlots)
	}
}
