// Package proxy is the request path of a node whose callers and upstream speak plain HTTP of their own: ingress routes
// match by Host header and path, the upstream makes calls of its own without a token, and callers name each attempt.
//
// It drives the decisions of packages sched, picker, rate, split and retry over the interfaces of core: at the entry
// node it resolves, identifies and places a request; at the node beside the upstream it lets calls wait and run.
package proxy
