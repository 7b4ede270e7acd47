// Package picker chooses the host for a call.
//
// It is designed for this load: hosts of one service differ in speed by a factor of two and more, some slow down, shed
// or fail part of their calls while their health checks succeed, and traffic between failure domains costs more than
// traffic within one. Each answer carries the latency that its host expects for one more call. A call goes to the host
// with the lowest expected latency, to which a penalty is added for failed calls and a smaller one for another failure
// domain. A host that fails quickly, and would otherwise look the fastest, therefore attracts no calls.
package picker
