// Package proxy is the request path of a node whose callers and upstream speak their own plain HTTP, without tokens of
// this system. Ingress routes match by Host header and path. Each attempt of a caller carries an identifier, and a
// nested call of the upstream is recognized by an identifier that extends that of the call being served.
//
// It connects the decisions of packages sched, picker, rate, split, retry and hedge through the interfaces of core. The
// entry node finds the ingress route, identifies the caller, charges its team's rate and picks a host; the node beside
// the upstream queues the call and sends it.
package proxy
