package core

import "time"

// Clock returns times that do not jump when the system's time of day is set.
type Clock struct {
	base time.Time
}

// NewClock returns a clock that starts at the present time of day.
func NewClock() Clock { return Clock{base: time.Now()} }

// Now returns the time of day at the clock's start plus the monotonic time since then. It is for counters that use the
// Unix seconds of a time and not only differences between times.
func (clo Clock) Now() time.Time { return clo.base.Add(time.Since(clo.base)) }
