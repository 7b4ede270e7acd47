package core

import "time"

// Clock returns times that steps of the time of day do not move.
type Clock struct {
	base time.Time
}

// NewClock returns a clock that starts at the present time of day.
func NewClock() Clock { return Clock{base: time.Now()} }

// Now returns the start of the clock plus the monotonic time since then. Counters that use the seconds of a time, not
// only differences, need it.
func (clo Clock) Now() time.Time { return clo.base.Add(time.Since(clo.base)) }
