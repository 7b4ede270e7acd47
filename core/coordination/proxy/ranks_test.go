package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/proxy"

	"github.com/google/go-cmp/cmp"
)

// serveNestedCall serves a call of a root request of a rank whose upstream makes one nested call to the service "deep". It
// reports whether that was answered.
func serveNestedCall(t *testing.T, prx *proxy.Proxy, class string, rank int, id string) bool {
	t.Helper()
	root := core.NewRoot(core.RootSpec{Team: "verona", Class: class, Rank: rank, Deadline: time.Now().Add(2 * time.Second)})
	ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
		Root: root, Service: "orders", Method: http.MethodGet, Path: "/read/1", Authority: "shop.example", AttemptID: id,
		TargetLatency: time.Second, DeclarationsVersion: 5, EntryRank: rank,
	}))
	if err != nil {
		t.Fatal(err)
	}
	_ = ans.Body().Close()
	return ans.Status() == http.StatusOK
}

// Guards against retries of less important nested calls that leave none to the important ones while all upstreams of a
// service shed, and against ranks that count where scheduling by work is not in force.
func TestRetriesAreLeftToImportantNestedCalls(t *testing.T) {
	for _, tst := range []struct {
		scheduling     proxy.Scheduling
		minLow, maxLow int // retries for less important root requests
	}{
		{proxy.SchedulingWork, 1, 4},
		{proxy.SchedulingLatency, 9, 11},
	} {
		t.Run(string(tst.scheduling), func(t *testing.T) {
			t.Parallel()
			env := &fakeEnv{}
			shedding, attempts := 0, 0
			env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
				if attempts++; shedding > 0 {
					shedding--
					return nil, core.NewRefusal(core.ReasonUpstreamShed, core.OutcomeNotRun, "shed")
				}
				return okAnswer()
			}
			var prx *proxy.Proxy
			env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
				if ans, err := prx.ServeRoot(ctx, request("/deep/1", call.AttemptID()+".c1", "")); err == nil {
					_ = ans.Body().Close()
					return okAnswer()
				}
				return answer(http.StatusInternalServerError, "", core.Feedback{}), nil
			}
			prx = newScheduledProxy(t, env, tst.scheduling)
			prx.SetRetryShare(0.5)
			awaitHealthCheck(t, prx)
			for i := range 20 {
				serveNestedCall(t, prx, "confirm", 0, fmt.Sprint("high", i))
				serveNestedCall(t, prx, "read", 2, fmt.Sprint("low", i))
			}
			const runs = 4
			attempts, shedding = 0, 1000
			for i := range runs {
				serveNestedCall(t, prx, "read", 2, fmt.Sprint("shed", i))
			}
			if retries := attempts - runs; retries < tst.minLow || retries > tst.maxLow {
				t.Errorf("%d retries of nested calls of rank 2, want %d to %d", retries, tst.minLow, tst.maxLow)
			}
			shedding = 4
			if !serveNestedCall(t, prx, "confirm", 0, "important") {
				t.Error("a root request of rank 0 whose nested call was shed four times was not answered")
			}
		})
	}
}

// Guards against root requests that go before nested calls of a more important rank where scheduling by work is in force,
// and against an order by rank where it is not.
func TestNestedCallsBeforeLessImportantRoots(t *testing.T) {
	for _, tst := range []struct {
		scheduling proxy.Scheduling
		want       []string
	}{
		{proxy.SchedulingWork, []string{"nested", "root"}},
		{proxy.SchedulingLatency, []string{"root", "nested"}},
	} {
		t.Run(string(tst.scheduling), func(t *testing.T) {
			t.Parallel()
			env := &fakeEnv{}
			finish, began := make(chan struct{}), make(chan string, 10)
			env.upstream = func(_ context.Context, call *core.Call) (*core.Answer, error) {
				switch call.AttemptID() {
				case "held":
					<-finish
				case "root", "nested":
					began <- call.AttemptID()
				}
				return okAnswer()
			}
			prx := newScheduledProxy(t, env, tst.scheduling)
			awaitHealthCheck(t, prx)
			var grp sync.WaitGroup
			serve := func(id string, rank, depth int) {
				root := core.NewRoot(core.RootSpec{Team: "verona", Class: fmt.Sprint("rank", rank), Rank: rank, Deadline: time.Now().Add(5 * time.Second)})
				ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
					Root: root, Service: "orders", Method: http.MethodGet, Path: "/read/1", Authority: "shop.example", AttemptID: id, Depth: depth,
					TargetLatency: 3200 * time.Millisecond, DeclarationsVersion: 5, EntryRank: rank,
				}))
				if err != nil {
					t.Errorf("call %q was refused: %v", id, err)
					return
				}
				_, _ = io.ReadAll(ans.Body())
				_ = ans.Body().Close()
			}
			waitFor := func(what string, done func() bool) {
				for end := time.Now().Add(2 * time.Second); !done(); time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("no %s after 2 s", what)
					}
				}
			}
			for range 10 {
				serve("earlier", 4, 0)
			}
			slots, _, _ := prx.SlotUsage()
			for range slots {
				grp.Go(func() { serve("held", 0, 1) })
			}
			waitFor("full slots", func() bool { _, inFlight, _ := prx.SlotUsage(); return inFlight == slots })
			for i, id := range []string{"root", "nested"} {
				grp.Go(func() { serve(id, 4-i, i) })
				waitFor("queued call", func() bool { _, _, queued := prx.SlotUsage(); return queued == i+1 })
			}
			finish <- struct{}{}
			got := []string{<-began, <-began}
			close(finish)
			grp.Wait()
			if diff := cmp.Diff(tst.want, got); diff != "" {
				t.Errorf("order of queued calls (-want +got):\n%s", diff)
			}
		})
	}
}
