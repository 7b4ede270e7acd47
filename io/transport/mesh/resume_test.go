package mesh_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
	"amaranthline/io/transport/mesh"
)

func newLaneCall(idempotent bool) *core.Call {
	return core.NewCall(core.CallSpec{Root: newRoot(eventTimeout), Method: http.MethodGet, Path: "/", Idempotent: idempotent})
}

// startPair starts a caller and a server with a proxy between them.
func startPair(t *testing.T, han handlerFunc) (caller *node, pro *proxy) {
	t.Helper()
	server := startNode(t, "h2", han, nil)
	pro = newProxy(t, server.Addr(), 0)
	caller = startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", pro.addr(), "h2")
	caller.awaitCount(t, mesh.EventOpened, 1)
	return caller, pro
}

// Guards against calls that fail, run twice or get another call's answer because the connection under them is reset:
// the connections of a large fleet are reset in the middle of calls, and nobody could say whether a paid confirmation
// had been booked.
func TestCallsOutliveTheirConnection(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		resets     int // a call that may be repeated elsewhere waits for one dial only
	}{{"calls that may not be repeated", false, 3}, {"calls that may be repeated", true, 1}}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			const calls = 50
			arrived, released := make(chan struct{}, calls), make(chan struct{})
			var runs atomic.Int64
			caller, pro := startPair(t, func(ctx context.Context, call *core.Call) (*core.Answer, error) {
				runs.Add(1)
				arrived <- struct{}{}
				<-released
				return newAnswer(strings.NewReader("answer to " + call.AttemptID())), ctx.Err()
			})
			var grp sync.WaitGroup
			for i := range calls {
				grp.Go(func() {
					id := fmt.Sprint("call-", i)
					call := core.NewCall(core.CallSpec{Root: newRoot(eventTimeout), Method: http.MethodGet, Path: "/", Idempotent: tst.idempotent, AttemptID: id})
					if res := forwardAndRead(t.Context(), caller, "h2", call); res.err != nil || res.body != "answer to "+id {
						t.Errorf("%s got %q, error %v", id, res.body, res.err)
					}
				})
			}
			for range calls {
				<-arrived
			}
			for resets := 1; resets <= tst.resets; resets++ {
				pro.cut()
				caller.awaitCount(t, mesh.EventOpened, 1+resets)
			}
			close(released)
			grp.Wait()
			if runs.Load() != calls {
				t.Errorf("%d calls ran %d times", calls, runs.Load())
			}
		})
	}
}

// Guards against losing an answer that was written to a connection that had gone silent. Answers that the serving node
// does not keep any more end as unknown, never as not run.
func TestAnswersOnSilentConnection(t *testing.T) {
	const calls = 200
	var arrived sync.WaitGroup
	arrived.Add(calls)
	caller, pro := startPair(t, func(context.Context, *core.Call) (*core.Answer, error) {
		arrived.Done()
		return newAnswer(bytes.NewReader(make([]byte, 1<<10))), nil
	})
	pro.stallAnswers(t)
	errs := make(chan error, calls)
	for range calls {
		go func() { errs <- forwardAndRead(t.Context(), caller, "h2", newLaneCall(false)).err }()
	}
	arrived.Wait()
	answered := 0
	for range calls {
		err := <-errs
		if err == nil {
			answered++
			continue
		}
		wantRefusal(t, err, core.ReasonPeerFailed, core.OutcomeUnknown)
	}
	if answered < 20 || answered == calls {
		t.Errorf("%d of %d answers arrived on the new connection, want the newest ones", answered, calls)
	}
}

// Guards against a long answer that loses, repeats or reorders parts when its connection is reset while it is read.
func TestLongAnswerOutlivesItsConnection(t *testing.T) {
	long := make([]byte, 60*wire.MaxLaneBody)
	for i := range long {
		long[i] = byte(i * i >> 8)
	}
	caller, pro := startPair(t, func(context.Context, *core.Call) (*core.Answer, error) {
		return newAnswer(bytes.NewReader(long)), nil
	})
	ans, err := caller.Forward(t.Context(), "h2", newLaneCall(false))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for part := 0; ; part++ {
		if part%10 == 5 {
			pro.cut()
		}
		_, err := io.CopyN(&got, ans.Body(), wire.MaxLaneBody)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("the answer broke off after %d of %d bytes: %v", got.Len(), len(long), err)
		}
	}
	if !bytes.Equal(got.Bytes(), long) {
		t.Errorf("the answer has %d bytes, want the %d that were sent", got.Len(), len(long))
	}
}

// Guards against an untrue "not run": a call that was declared not to have arrived must not run when the bytes that a
// silent connection held back arrive after all.
func TestCallOnSilentConnectionNeverRuns(t *testing.T) {
	var runs atomic.Int64
	caller, pro := startPair(t, func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		if call.Idempotent() {
			return echo(ctx, call)
		}
		runs.Add(1)
		return echo(ctx, call)
	})
	if res := forwardAndRead(t.Context(), caller, "h2", newLaneCall(true)); res.err != nil {
		t.Fatal(res.err)
	}
	deliver := pro.stall(t)
	wantRefusal(t, forwardAndRead(t.Context(), caller, "h2", newLaneCall(false)).err, core.ReasonPeerFailed, core.OutcomeNotRun)
	deliver()
	time.Sleep(100 * time.Millisecond)
	if res := forwardAndRead(t.Context(), caller, "h2", newLaneCall(true)); res.err != nil {
		t.Errorf("a call after the late delivery gave %v", res.err)
	}
	if runs.Load() != 0 {
		t.Errorf("a call that was declared not run ran %d times", runs.Load())
	}
}

// A call whose host restarts has ended with the process that served it: its outcome is unknown, and is known to be so as
// soon as the new process can be reached.
func TestRestartedHostForgetsCalls(t *testing.T) {
	arrived := make(chan struct{})
	block := func(ctx context.Context, _ *core.Call) (*core.Answer, error) {
		close(arrived)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	caller, pro := startPair(t, block)
	errs := make(chan error, 1)
	go func() { errs <- forwardAndRead(t.Context(), caller, "h2", newLaneCall(false)).err }()
	<-arrived
	successor := startNode(t, "h2", echo, func(set *mesh.Settings) { set.Incarnation = 1 })
	pro.retarget(successor.Addr())
	started := time.Now()
	pro.cut()
	wantRefusal(t, <-errs, core.ReasonPeerFailed, core.OutcomeUnknown)
	if elapsed := time.Since(started); elapsed > 2*time.Second {
		t.Errorf("the call ended %v after the restart, want at most 2 s", elapsed)
	}
}

// A call that its caller cancels while there is no connection must be cancelled at the serving node with the next one.
func TestCancellationWithoutConnection(t *testing.T) {
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	caller, pro := startPair(t, func(ctx context.Context, _ *core.Call) (*core.Answer, error) {
		close(arrived)
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_ = forwardAndRead(ctx, caller, "h2", newLaneCall(false))
		close(ended)
	}()
	<-arrived
	pro.stall(t)
	cancel()
	<-ended
	select {
	case <-cancelled:
	case <-time.After(3 * time.Second):
		t.Error("the serving node did not learn of the cancellation within 3 s")
	}
}
