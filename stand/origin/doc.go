// Package origin is a stand-in for an upstream: it simulates work in a bounded number of slots, sends nested calls through
// the nested port of its node, and can be slow, start cold, shed, drain or crash.
//
// The service handler takes any method and path, waits for a slot, works, sends its nested calls in order while it
// holds the slot, and answers 200 with a JSON object: "method", "path" (with query), "body" (the request body as
// text), "nested" (the status of each nested call, 0 when there was no answer) and "padding". It answers 502 when a
// nested call failed after all its retries, 504 when Request-Timeout passed, and 503 with Amaranthline-Not-Run: true
// while it sheds or drains. It cancels a request whose caller closes the connection. GET /health answers 200 with the
// text "ok", or 503 with "draining" or "shedding"; GET /load answers the calls in flight divided by the slots. Both
// answer with a past state, whose age the lag sets.
//
// The control handler belongs on a port of its own. Bodies are JSON; a field that is left out keeps its value, an
// unknown one is refused with 400, and success is 204:
//
//	PUT /control/service {"time": "5ms", "exponential": true, "padding": 0}
//	PUT /control/slow    {"factor": 3}
//	PUT /control/shed    {"on": true}
//	PUT /control/drain   {"on": true}
//	PUT /control/cold    {"slots": 4, "over": "10s"}       starts cold now with 4 slots; warm after 10 s, or now if "0s"
//	PUT /control/nested  {"base": "http://127.0.0.1:7003", "calls": [{"call": "GET /grafica/drawings/1", "retries": 2}]}
//	PUT /control/health  {"lag": "2s", "fixed": "ok"}      fixed replaces the text of GET /health; "" ends that
//	PUT /control/crash   {"marker": "boom"}                crashes on a path or body that contains the marker; "" ends that
//	PUT /control/reset   {}                                clears the statistics
//	GET /control/stats
//
// The statistics are a JSON object: "runs" by "METHOD /path" without query, "runs_by_key" by Idempotency-Key,
// "nested" (attempts by call), "forbidden" (headers that an upstream must never see, by name), "without_token"
// (requests without Amaranthline-Call), "refused" (while shedding or draining), "cancelled" (by the caller or the
// deadline), "in_flight" and "peak_in_flight" (requests that are queued for a slot or hold one).
// A run is counted when its work starts.
package origin
