package proxy_test

import (
	"context"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"

	"google.golang.org/protobuf/proto"
)

// tokenPeers are peers of which each replies to requests for tokens with an even grant, or not at all.
type tokenPeers struct {
	*fakeEnv
	asked  []string
	silent map[string]bool
	tokens int64
}

func (tpe *tokenPeers) Exchange(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	req, ok := msg.(*wire.TokenRequest)
	if !ok {
		return nil, nil
	}
	tpe.mut.Lock()
	tpe.asked = append(tpe.asked, host)
	silent := tpe.silent[host]
	granted := min(tpe.tokens, req.GetWanted())
	tpe.tokens -= granted
	tpe.mut.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply := &wire.TokenGrant{Tokens: granted}
	if granted < req.GetWanted() {
		reply.PauseNanos = int64(time.Second)
	}
	return reply, nil
}

// Guards against requests that run without a token of their team's rate, against a granter that is asked again for each
// request after it had no token, and against requests that fail because the granter is silent.
func TestRequestsTakeTokens(t *testing.T) {
	env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) { return okAnswer() }}
	peers := &tokenPeers{fakeEnv: env, tokens: 2, silent: map[string]bool{}}
	prx := newProxyWithPeers(t, env, peers)
	send := func() error {
		_, err := prx.ServeRoot(t.Context(), request("/stock/1", "r", apiKey))
		return err
	}
	for range 2 {
		if err := send(); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		err := send()
		checkRefusal(t, err, core.ReasonRateExceeded, core.OutcomeNotRun)
		if core.AsRefusal(err).RetryAfter() <= 0 {
			t.Error("the refusal does not say when to return")
		}
	}
	if got := len(peers.asked); got > 3 {
		t.Errorf("granters were asked %d times, want at most 3: no host is asked in the pause", got)
	}
	first := peers.asked[0]
	time.Sleep(1100 * time.Millisecond) // until the pause is over
	peers.mut.Lock()
	peers.tokens, peers.silent[first] = 2, true
	peers.mut.Unlock()
	if err := send(); err != nil {
		t.Errorf("a request was refused because the first granter is silent: %v", err)
	}
}
