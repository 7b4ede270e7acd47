// Package sched admits, queues and refuses the calls to one upstream under overload.
//
// It is designed for this load: a service deep in the call graph slows down or loses a host, while each root request
// needs several calls to it. Without bounds, every host earlier in the call chain fills with queued root requests,
// none of them finishes within its target latency, and an upstream whose own queue is full does not answer at all.
// Three rules prevent this:
//
//   - The upstream gets no more calls than it runs at once; the others are queued here, where deadlines and ranks are
//     known. Nested calls wait longer than new root requests, which are refused early, because refusing a nested call
//     wastes the work already done for its root request.
//   - Each class has a limit on its root requests in flight: the number that the current completion rate finishes
//     within the target latency (Little's law). A slow service anywhere deeper in the call chain lowers that rate, so
//     the limit falls within a fraction of a second, without any message from that service, and the admitted root
//     requests still finish in time.
//   - In any one second, a cold upstream gets a number of requests that is bounded by its declared cold rate.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package sched
