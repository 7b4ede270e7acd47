// Package conf is a stand-in for the platform's configuration service, for tests and demonstrations.
//
// Calls of nodes, which it counts:
//
//	GET /v1/values/NAME                        the document, with its version in the header Version, or 404 if it has not
//	                                           been published yet
//	GET /v1/values/NAME?after=V&wait=SECONDS   the same once the version is above V, or 304 after the wait (at most 60 s)
//
// Calls of operators and tests, which it does not count:
//
//	PUT /v1/values/NAME    publishes the body (at most 1 MiB) and answers {"version": V}. V is the whole number in
//	                       the document's field "version". A document without one gets the next number, because the
//	                       service does not check documents.
//	PUT /v1/mode           {"mode": "live"}, {"mode": "stale"} or {"mode": "down"}. While stale, reads and watches see
//	                       the documents as they were when the mode was set. While down, they get 503.
//	GET /v1/mode           the mode
//	GET /v1/calls          {"calls": N, "waiting": N, "per_second": N}: all calls of nodes, watches that wait now, and
//	                       calls per second over the last 10 s
//
// The body of an error is {"error": "..."}, a text that names the remedy.
package conf
