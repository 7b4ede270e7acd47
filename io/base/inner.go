package base

import (
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/memory"
	"amaranthline/io/transport/inlet"
)

// Limits of the ports for operators and readiness checks, whose requests are small.
const (
	innerHeadTimeout  = 2 * time.Second
	innerIdleTimeout  = 30 * time.Second
	innerWritePause   = 10 * time.Second
	innerHeadBytes    = 8 << 10
	innerMemoryMB     = 16
	innerFiles        = 64 // a quarter of them is for connections
	limitLinesPause   = time.Second
	innerReadDeadline = 5 * time.Second // for a whole request
)

// NewInnerServer returns the server of a port for operators or readiness checks.
func NewInnerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: innerHeadTimeout, ReadTimeout: innerReadDeadline, IdleTimeout: innerIdleTimeout,
		MaxHeaderBytes: innerHeadBytes, ConnState: inlet.SetState, ConnContext: inlet.ConnContext,
	}
}

// ListenInner bounds the connections of a port for operators or readiness checks, and what their requests hold.
func ListenInner(lis net.Listener) net.Listener {
	return inlet.Listen(lis, inlet.Settings{
		HeadTimeout: innerHeadTimeout, MaxHeadBytes: innerHeadBytes, ReadAheadBytes: innerHeadBytes, WritePause: innerWritePause,
		Limits: inlet.NewLimits(memory.Divide(innerMemoryMB, innerFiles, 0), nil),
		Refuse: func(ref *core.Refusal) []byte {
			return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", ref.Status(), http.StatusText(ref.Status()))
		},
	})
}

// LimitHeap makes the garbage collector run more often before the process reaches the memory of its machine.
func LimitHeap(div memory.Division) {
	if limit := div.HeapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// LineLimit bounds the rate of one kind of log line to one in limitLinesPause. It is safe for concurrent use.
type LineLimit struct {
	mut     sync.Mutex
	last    time.Time
	omitted int
}

// Take reports whether a line may be written now, and how many were left out since the last one.
func (lli *LineLimit) Take(now time.Time) (omitted int, ok bool) {
	lli.mut.Lock()
	defer lli.mut.Unlock()
	if now.Sub(lli.last) < limitLinesPause {
		lli.omitted++
		return 0, false
	}
	omitted, lli.omitted, lli.last = lli.omitted, 0, now
	return omitted, true
}

const (
	bufferedBody     = 64 << 10 // of a request body that a node keeps in memory
	memoryRetryAfter = time.Second
)

// CallCost returns the bytes that a call of a peer makes this node hold.
func CallCost(call *core.Call) int {
	text, lines := 0, 0
	for name, values := range call.Header() {
		lines += len(values)
		for _, val := range values {
			text += len(name) + len(val)
		}
	}
	length := call.Length()
	if length < 0 {
		length = bufferedBody
	}
	return memory.HeadCost(text, lines) + int(min(length, bufferedBody))
}

// RefuseCallMemory returns the refusal of a call for which no memory is left.
func RefuseCallMemory() *core.Refusal {
	return core.NewRefusal(core.ReasonCallerMemory, core.OutcomeNotRun, "the headers and the body would cost more memory than is left for calls").
		WithRetryAfter(memoryRetryAfter)
}
