package mesh_test

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthline/io/transport/mesh"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/yamux"
)

const (
	readingStreams = 50
	// maxSessionEnd is how long the end of a session may keep the goroutines that read from its streams. A silent
	// connection must be replaced within a second, and all of its calls wait for that.
	maxSessionEnd = 200 * time.Millisecond
)

// brokenConn is a connection whose writes fail once broken is set, while reads go on.
type brokenConn struct {
	net.Conn
	broken atomic.Bool
}

func (bco *brokenConn) Write(data []byte) (int, error) {
	if bco.broken.Load() {
		return 0, errors.New("connection reset by peer")
	}
	return bco.Conn.Write(data)
}

// TestSessionEndsAtOnce ends a session on one processor while many goroutines read from its streams. In yamux each of
// them runs in a loop from the announcement of the end until the reader of the session has returned.
func TestSessionEndsAtOnce(t *testing.T) {
	for _, tst := range []struct {
		name string
		end  func(conn *brokenConn, mux *yamux.Session)
	}{
		{"a write fails", func(conn *brokenConn, mux *yamux.Session) {
			conn.broken.Store(true)
			_, _ = mux.Ping()
		}},
		{"the node closes it", func(conn *brokenConn, mux *yamux.Session) { mesh.EndSession(conn, mux) }},
	} {
		t.Run(tst.name, func(t *testing.T) {
			conn, mux := sessionWithReaders(t)
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			var readers sync.WaitGroup
			for range readingStreams {
				str, err := mux.AcceptStream()
				if err != nil {
					t.Fatal(err)
				}
				readers.Go(func() { _, _ = str.Read(make([]byte, 1)) })
			}
			time.Sleep(10 * time.Millisecond) // until the readers wait
			began := time.Now()
			go tst.end(conn, mux)
			readers.Wait()
			if diff := cmp.Diff(true, time.Since(began) <= maxSessionEnd); diff != "" {
				t.Errorf("the readers returned after %v, want at most %v (-want +got):\n%s", time.Since(began), maxSessionEnd, diff)
			}
		})
	}
}

// sessionWithReaders returns the serving side of a session whose peer has opened readingStreams streams.
func sessionWithReaders(t *testing.T) (*brokenConn, *yamux.Session) {
	t.Helper()
	near, far := net.Pipe()
	conn := &brokenConn{Conn: near}
	mux, err := mesh.ServeSession(conn)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := yamux.Client(far, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = far.Close(), peer.Close() })
	for range readingStreams {
		if _, err := peer.OpenStream(); err != nil {
			t.Fatal(err)
		}
	}
	return conn, mux
}
