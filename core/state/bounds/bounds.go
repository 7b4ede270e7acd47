package bounds

import (
	"sync/atomic"
	"time"
)

// The limits that hold while the configuration declares none.
const (
	DefaultHeaderBytes   = 32 << 10
	DefaultBodyBytes     = 8 << 20
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
)

// applyTime is how long after a change the wider limits still hold. Configurations are in force everywhere within 3 s, and
// callers learn of them as late; the rest covers a node that is the first to know.
const applyTime = 5 * time.Second

// MaxHeaderBytes bounds the declared length of heads. A longer head is refused between nodes: one of very many short lines
// would end the connection to the peer as malformed.
const MaxHeaderBytes = 64 << 10

// maxTimeout bounds declared times, which are added to others. Nobody waits that long.
const maxTimeout = 24 * time.Hour

// Limits is one set of limits; a zero value stands for the default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // from the first byte of a head to its last
	IdleTimeout   time.Duration // of a connection between two requests
}

func (lim Limits) withDefaults() Limits {
	return Limits{
		HeaderBytes: min(orDefault(lim.HeaderBytes, DefaultHeaderBytes), MaxHeaderBytes), BodyBytes: orDefault(lim.BodyBytes, DefaultBodyBytes),
		HeaderTimeout: min(orDefault(lim.HeaderTimeout, DefaultHeaderTimeout), maxTimeout),
		IdleTimeout:   min(orDefault(lim.IdleTimeout, DefaultIdleTimeout), maxTimeout),
	}
}

func orDefault[T int | time.Duration](value, byDefault T) T {
	if value <= 0 {
		return byDefault
	}
	return value
}

// widest returns the larger one of each limit.
func widest(one, other Limits) Limits {
	return Limits{
		HeaderBytes: max(one.HeaderBytes, other.HeaderBytes), BodyBytes: max(one.BodyBytes, other.BodyBytes),
		HeaderTimeout: max(one.HeaderTimeout, other.HeaderTimeout), IdleTimeout: max(one.IdleTimeout, other.IdleTimeout),
	}
}

// inForce is the state after a change.
type inForce struct {
	declared Limits    // of the last change, without defaults
	now      Limits    // in force
	before   Limits    // also allowed until the time below
	until    time.Time // zero before the first change
}

// Bounds is the limits in force. It is safe for concurrent use; Set must be called by one goroutine at a time.
type Bounds struct {
	state atomic.Pointer[inForce]
}

// New returns bounds with the default limits.
func New() *Bounds {
	bou := &Bounds{}
	bou.state.Store(&inForce{now: Limits{}.withDefaults()})
	return bou
}

// Set puts declared limits in force. Limits that are the same as before change nothing.
func (bou *Bounds) Set(now time.Time, declared Limits) {
	old := bou.state.Load()
	if declared == old.declared {
		return
	}
	bou.state.Store(&inForce{declared: declared, now: declared.withDefaults(), before: old.at(now), until: now.Add(applyTime)})
}

// At returns the limits that hold at a time.
func (bou *Bounds) At(now time.Time) Limits { return bou.state.Load().at(now) }

func (inf *inForce) at(now time.Time) Limits {
	if now.Before(inf.until) {
		return widest(inf.now, inf.before)
	}
	return inf.now
}
