package core

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is a request of a caller or of this host's upstream as the HTTP server received it.
type Request struct {
	apiKey         string
	callToken      string
	service        string
	method         string
	path           string
	query          string
	header         http.Header
	body           io.Reader
	length         int64
	timeout        time.Duration
	idempotencyKey string
	attemptID      string
	authority      string
	waited         time.Duration
}

// RequestSpec lists the fields of a new Request.
type RequestSpec struct {
	APIKey         string // the caller's key; only the entry node sees it
	CallToken      string // token of the running call that makes this nested call, or "" if the request is not nested
	Service        string
	Method         string
	Path           string // escaped path below the service, starting with a slash
	Query          string
	Header         http.Header   // end-to-end headers without the key
	Body           io.Reader     // nil when there is no body
	Length         int64         // -1 when unknown
	Timeout        time.Duration // how long the caller waits, or 0 when the caller states none
	IdempotencyKey string
	AttemptID      string        // the caller's own identifier of this attempt, or "" if there is none
	Authority      string        // Host header
	Waited         time.Duration // since the request had arrived, while those sent ahead of it on its connection were answered
}

// NewRequest returns a request.
func NewRequest(spec RequestSpec) *Request {
	return &Request{
		apiKey: spec.APIKey, callToken: spec.CallToken, service: spec.Service, method: spec.Method, path: spec.Path, query: spec.Query,
		header: spec.Header, body: spec.Body, length: spec.Length, timeout: spec.Timeout, idempotencyKey: spec.IdempotencyKey,
		attemptID: spec.AttemptID, authority: spec.Authority, waited: spec.Waited,
	}
}

// APIKey returns the caller's key, or "" if the request has none.
func (req *Request) APIKey() string { return req.apiKey }

// CallToken returns the token of the running call that makes this nested call, or "" if the request is not nested.
func (req *Request) CallToken() string { return req.callToken }

// Service returns the name of the requested service.
func (req *Request) Service() string { return req.service }

// Method returns the HTTP method.
func (req *Request) Method() string { return req.method }

// Path returns the escaped path below the service.
func (req *Request) Path() string { return req.path }

// RequestURI returns path and query as sent to the upstream.
func (req *Request) RequestURI() string {
	if req.query == "" {
		return req.path
	}
	return req.path + "?" + req.query
}

// Header returns the end-to-end headers.
func (req *Request) Header() http.Header { return req.header }

// Body returns the request body, or nil when there is no body.
func (req *Request) Body() io.Reader { return req.body }

// Length returns the length of the body, or -1 when it is unknown.
func (req *Request) Length() int64 { return req.length }

// Timeout returns how long the caller waits, or 0 when the caller states none.
func (req *Request) Timeout() time.Duration { return req.timeout }

// IdempotencyKey returns the caller's idempotency key, or "" if there is none.
func (req *Request) IdempotencyKey() string { return req.idempotencyKey }

// AttemptID returns the caller's own identifier of this attempt, or "" if there is none.
func (req *Request) AttemptID() string { return req.attemptID }

// Authority returns the Host header.
func (req *Request) Authority() string { return req.authority }

// Waited returns how long the request had to wait after its arrival while those sent ahead of it on its connection were
// answered. The times that the caller and the operator allow for it count from the arrival.
func (req *Request) Waited() time.Duration { return req.waited }

// EntryHandler serves the requests that the HTTP server receives.
type EntryHandler interface {
	// ServeRoot serves a root request of a caller.
	ServeRoot(ctx context.Context, req *Request) (*Answer, error)
	// ServeNested serves a call that this host's upstream makes while it serves another call.
	ServeNested(ctx context.Context, req *Request) (*Answer, error)
}

// RouteLookup tells how requests are declared. An EntryHandler that implements it lets further idempotent requests of a
// connection begin before those sent ahead of them are answered.
type RouteLookup interface {
	// LookUpRoute returns the name of the declared route of a request and whether it may run more than once; it returns false
	// for a request without a route.
	LookUpRoute(req *Request) (name string, idempotent bool)
}

// Observer counts answers, refusals and retries; it must be safe for concurrent use.
type Observer interface {
	// Served reports an answer to a root request or nested call and how long it took.
	Served(class, team string, nested bool, elapsed time.Duration)
	// Refused reports a request that was refused or failed.
	Refused(reason Reason, class, team string)
	// Retried reports a retry of a call.
	Retried(class string)
}
