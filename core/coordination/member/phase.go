package member

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// phase is the state of a host according to the node's own observations.
type phase uint32

const (
	phaseUnknown phase = iota
	phaseUp
	phaseSuspect // the connection to the host went silent
	phaseDown
	phaseLeaving // the host is leaving or draining
)

var phaseNames = []string{"unknown", "up", "suspect", "down", "leaving"}

// String returns the name of the phase.
func (pha phase) String() string { return phaseNames[pha] }

// lifetime returns how long a phase holds without an observation that confirms it; after that the phase becomes unknown.
func (pha phase) lifetime() time.Duration {
	switch pha {
	case phaseUp:
		return upLifetime
	case phaseLeaving:
		return leavingLifetime
	case phaseSuspect, phaseDown:
		return downLifetime
	}
	return 0
}

const (
	eventAnswered = "answered" // a probe or a call was answered
	eventSilent   = "silent"   // the connection went silent
	eventFailed   = "failed"   // the connection was refused or the last probes were not answered
	eventDrained  = "drained"  // the host reported that it is leaving or draining
	eventReturned = "returned" // a host in phase leaving answered a probe without the leaving flag
	eventExpired  = "expired"  // the lifetime of the phase is over
)

// phaseMachine is the transition table for the phases of all hosts. All hosts share one looplab/fsm machine, whose state
// is set before each event: one machine for each of 1,900 hosts would hold 1,900 copies of the table. The request path
// does not use the machine to find a phase; it reads the one that the last transition stored.
type phaseMachine struct {
	fsm *fsm.FSM
}

func newPhaseMachine() *phaseMachine {
	return &phaseMachine{fsm: fsm.NewFSM(phaseUnknown.String(), fsm.Events{
		{Name: eventAnswered, Src: []string{"unknown", "suspect", "down"}, Dst: "up"},
		{Name: eventSilent, Src: []string{"unknown", "up"}, Dst: "suspect"},
		{Name: eventFailed, Src: []string{"unknown", "up", "suspect"}, Dst: "down"},
		{Name: eventDrained, Src: []string{"unknown", "up", "suspect", "down"}, Dst: "leaving"},
		{Name: eventReturned, Src: []string{"leaving"}, Dst: "up"},
		{Name: eventExpired, Src: []string{"up", "suspect", "down", "leaving"}, Dst: "unknown"},
	}, nil)}
}

// next returns the phase after an event; an event without a transition from the phase does not change it.
func (phm *phaseMachine) next(from phase, event string) phase {
	phm.fsm.SetState(from.String())
	if err := phm.fsm.Event(context.Background(), event); err != nil {
		return from
	}
	for idx, name := range phaseNames {
		if phm.fsm.Is(name) {
			return phase(idx)
		}
	}
	return from
}
