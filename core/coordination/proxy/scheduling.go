package proxy

import "amaranthline/core/state/decl"

// Scheduling selects what decides at which host a call runs and whose requests are refused under overload.
type Scheduling string

// The values of Scheduling.
const (
	// SchedulingAuto is SchedulingWork unless a service declares the rate of its cold upstreams: their calls are paced in
	// the order of arrival, whatever work they are.
	SchedulingAuto Scheduling = "auto"
	// SchedulingLatency compares the reported latency of hosts and refuses by class and arrival.
	SchedulingLatency Scheduling = "latency"
	// SchedulingWork compares the expected work of calls and hosts and divides the room of a class among teams.
	SchedulingWork Scheduling = "work"
)

// Valid reports whether the value is a known one.
func (sdl Scheduling) Valid() bool {
	return sdl == SchedulingAuto || sdl == SchedulingLatency || sdl == SchedulingWork
}

// ByWork reports whether scheduling by work is in force under a configuration.
func (sdl Scheduling) ByWork(sna *decl.Snapshot) bool {
	return sdl == SchedulingWork || sdl == SchedulingAuto && !sna.DeclaresColdRate()
}
