package inlet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/bounds"
)

const waitInterval = 5 * time.Millisecond // between two looks at what Listener.WaitBegun waits for

// Settings bounds what a connection holds back.
type Settings struct {
	HeadTimeout    time.Duration // longest time from the first byte of a head to its last
	MaxHeadBytes   int           // of a head that is held back; a longer one is left to net/http, which refuses it
	ReadAheadBytes int           // of further requests that are held while one is served
	// Bounds are the limits of heads and idle connections that change at run time. They replace HeadTimeout and MaxHeadBytes,
	// and the limits of http.Server for connections that wait for a request; nil leaves all of these in force.
	Bounds     *bounds.Bounds
	Ahead      Ahead         // begins further requests; nil means that each waits for its turn
	WritePause time.Duration // longest time without any progress of a write; 0 for no limit
	// Limits bounds what all connections hold together, and makes heads that are too long or too slow be refused; nil for
	// no such bounds.
	Limits *Limits
	Refuse func(ref *core.Refusal) []byte // returns a whole answer that closes its connection; used with Limits only
}

// Listener accepts connections whose requests are framed.
type Listener struct {
	net.Listener
	settings Settings
	begun    atomic.Int64 // requests that were begun and whose turn has not come
	ending   atomic.Bool  // none is begun any more
}

// Listen frames the requests of all connections of a listener. The http.Server that uses it needs SetState as its
// ConnState hook and ConnContext as its ConnContext.
func Listen(lis net.Listener, set Settings) *Listener {
	return &Listener{Listener: lis, settings: set}
}

// Accept waits for the next connection.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		con := newConn(raw, lis)
		if lim := lis.settings.Limits; lim == nil || lim.add(con) {
			return con, nil
		}
		_ = raw.Close()
		lis.settings.Limits.onLimit(LimitConnections, raw.RemoteAddr())
	}
}

// WaitBegun begins no further requests ahead, and waits until none of those that were begun waits for its turn.
// http.Server.Shutdown closes connections between two answers, so it must not be called before.
func (lis *Listener) WaitBegun(ctx context.Context) error {
	lis.ending.Store(true)
	tick := time.NewTicker(waitInterval)
	defer tick.Stop()
	for lis.begun.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("%d requests that were begun ahead of their turn are not answered; allow more time for the graceful shutdown: %w", lis.begun.Load(), ctx.Err())
		}
	}
	return nil
}

type connKey struct{}

// ConnContext adds the connection to the context of its requests; it is for the field of http.Server of this name.
func ConnContext(ctx context.Context, raw net.Conn) context.Context {
	if con, ok := raw.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, con)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil if it is not framed.
func FromContext(ctx context.Context) *Conn {
	con, _ := ctx.Value(connKey{}).(*Conn)
	return con
}

// SetState tells a connection its state; it is for the field ConnState of http.Server.
func SetState(raw net.Conn, state http.ConnState) {
	if con, ok := raw.(*Conn); ok {
		con.SetState(state)
	}
}
