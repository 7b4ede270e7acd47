// Package sched decides how work waits beside an upstream and how it is turned away when load is at its worst.
//
// The load that it answers: a service deep in the call graph slows down or loses a host, while each root request needs
// several of its calls. Without bounds every host above fills with roots that wait, nothing finishes within its target,
// and an upstream whose own queue is full does not answer at all. Three rules follow from it:
//
//   - No more calls are sent to the upstream than it runs at once; the rest waits here, where deadlines and ranks are
//     known. Calls of roots that have begun wait longer than new roots, which are refused early, because turning away a
//     begun root throws its work away.
//   - Each class of roots has a window: the number in flight that the present rate of completions finishes within the
//     target (Little's law). A slow service anywhere below lowers that rate, so the window closes within a fraction of
//     a second and without any message from below, and the roots that are admitted still finish in time.
//   - A cold upstream gets at most its declared rate in any second.
//
// The package does no I/O and reads no clock; its owner serializes the calls.
package sched
