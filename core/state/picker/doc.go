// Package picker chooses the host for a call.
//
// The load that it answers: hosts of one service differ in speed by a factor of two and more, some slow down, shed or
// fail part of their calls while their health looks good, and bytes between failure domains cost more than those
// within one. Each answer carries the time that its host expects for one more call. A call goes to the host with the
// lowest expected time; hosts that fail count as slow, and other failure domains as a little slower. A host that fails
// at once, and would seem the fastest of all, so attracts no calls.
package picker
