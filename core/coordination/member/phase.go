package member

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// phase is what the node's own observations say about a host.
type phase uint32

const (
	phaseUnknown phase = iota
	phaseUp
	phaseSuspect // its connection went silent
	phaseDown
	phaseLeaving
)

var phaseNames = []string{"unknown", "up", "suspect", "down", "leaving"}

// String returns the name of the phase.
func (pha phase) String() string { return phaseNames[pha] }

// lifetime is how long a phase is believed without a new observation.
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
	eventAnswered = "answered"
	eventSilent   = "silent"
	eventFailed   = "failed"
	eventDrained  = "drained"
	eventReturned = "returned"
	eventExpired  = "expired"
)

// lifecycle is the transition table of all hosts. One looplab/fsm machine serves them all, with its state set
// before each event: a machine for each of 1,900 hosts would hold its own copy of the table. The request path
// does not use it; it reads the phase that the last transition stored.
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

// next returns the phase after an event; an event that the phase does not know changes nothing.
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
