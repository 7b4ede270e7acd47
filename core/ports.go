package core

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"
)

// Handler serves calls that arrive at a node.
type Handler interface {
	// Serve runs a call and returns its answer, or an error that AsRefusal turns into a refusal.
	Serve(ctx context.Context, call *Call) (*Answer, error)
}

// Upstream is the application process of this host, which runs the calls.
type Upstream interface {
	// Do sends one call with the call token that its nested calls must present.
	Do(ctx context.Context, call *Call, callToken string) (*Answer, error)
}

// SendReporter is an upstream that can report which calls it has sent.
type SendReporter interface {
	Upstream
	// ReportsSent reports whether Do calls Call.ReportSent once the head of a call has been written, and not for a call that
	// was not sent.
	ReportsSent() bool
}

// Health is an upstream's answer to a health check.
type Health struct {
	instance      string
	serving       bool
	coldRemaining time.Duration
	rejected      bool
}

// NewHealth returns a health: the identifier of the instance, which is new after each start of the upstream, whether it
// accepts calls, and how much longer it stays cold.
func NewHealth(instance string, serving bool, coldRemaining time.Duration) Health {
	return Health{instance: instance, serving: serving, coldRemaining: coldRemaining}
}

// NewRejectedHealth returns the health of an upstream that refused a health check as it refuses calls, without running it.
// The instance answers, but whether it is cold is not known.
func NewRejectedHealth(instance string) Health { return Health{instance: instance, rejected: true} }

// Rejected reports whether the upstream refused the health check, so that nothing but the instance is known.
func (hea Health) Rejected() bool { return hea.rejected }

// Instance returns the identifier that the upstream has had since its last start, or "" if none is known.
func (hea Health) Instance() string { return hea.instance }

// Serving reports whether the upstream accepts calls.
func (hea Health) Serving() bool { return hea.serving }

// ColdRemaining returns how much longer the upstream stays cold.
func (hea Health) ColdRemaining() time.Duration { return hea.coldRemaining }

// CheckedUpstream is an upstream with health checks, to which calls can be sent for one instance only.
type CheckedUpstream interface {
	Upstream
	// PinInstance sets the instance that may run further calls; "" means any.
	PinInstance(instance string)
	// Health makes a health check at a path of the upstream.
	Health(ctx context.Context, path string) (Health, error)
}

// EventLog writes log lines about decisions without blocking. Lines beyond a rate are counted instead of written.
type EventLog interface {
	// Note writes one line: the event that was decided on, the caller's identifier of the attempt ("" if none), and the
	// inputs of the decision.
	Note(event, attemptID string, fields map[string]any)
	// Enabled reports whether a line of the event would be written now; if not, the line is counted as left out. A caller
	// that checks this before Note need not collect the fields of an event that happens at each request.
	Enabled(event string) bool
}

// CallerDialect translates between the headers that callers use and requests, refusals and answers.
type CallerDialect interface {
	// ParseRequest returns the parts of a request that its handling needs. The header of the result holds the caller's
	// end-to-end headers without those that only the system may set.
	ParseRequest(hrq *http.Request) (RequestSpec, *Refusal)
	// SetRefusalHeaders sets the headers of a refusal.
	SetRefusalHeaders(hdr http.Header, ref *Refusal)
	// SetAnswerHeaders changes the end-to-end headers of an answer to a caller's attempt.
	SetAnswerHeaders(hdr http.Header, attemptID string)
}

// UpstreamDialect translates between calls and the headers that an upstream uses.
type UpstreamDialect interface {
	// SetCallHeaders sets the headers of a call; callToken is the token that its nested calls present, instance is the
	// only instance of the upstream that may run it ("" for any), and remaining is the time until the deadline.
	SetCallHeaders(hdr http.Header, call *Call, callToken, instance string, remaining time.Duration)
	// ClassifyAnswer returns nil for an application's answer to this call, or else the refusal that the answer means.
	ClassifyAnswer(call *Call, status int, hdr http.Header) *Refusal
	// NamesCall reports whether an answer names the call that it belongs to. A late second copy of one that does not could be
	// taken for the answer to the next call, so its connection is not used again.
	NamesCall(hdr http.Header) bool
	// SetAnswerHeaders changes the end-to-end headers of an upstream's answer.
	SetAnswerHeaders(hdr http.Header)
	// ParseHealth returns the health in the answer to a health check, or false if the answer belongs to a call.
	ParseHealth(status int, hdr http.Header) (Health, bool)
}

// Peers sends calls and messages to the nodes of other hosts.
type Peers interface {
	// Forward sends a call to the node of a host.
	Forward(ctx context.Context, host string, call *Call) (*Answer, error)
	// Exchange sends one control message and returns the reply, or nil if the peer sent none.
	Exchange(ctx context.Context, host string, msg proto.Message) (proto.Message, error)
	// SetPeers sets the addresses by host, and the hosts to which connections are kept open.
	SetPeers(addrs map[string]string, keepConnected []string)
	// State returns the state of a peer as the probes on the connection to it show it.
	State(host string) PeerState
}

// PeerState is the state of a peer as the probes on a node's own connection to it show it.
type PeerState struct {
	known   bool
	up      bool
	leaving bool
	load    float64
	rtt     time.Duration
}

// NewPeerState returns the state of a peer that has been probed.
func NewPeerState(up, leaving bool, load float64, rtt time.Duration) PeerState {
	return PeerState{known: true, up: up, leaving: leaving, load: load, rtt: rtt}
}

// Known reports whether the peer has been probed; the zero PeerState is unknown.
func (pst PeerState) Known() bool { return pst.known }

// Up reports whether the peer answered the last probes.
func (pst PeerState) Up() bool { return pst.up }

// Leaving reports whether the peer is leaving.
func (pst PeerState) Leaving() bool { return pst.leaving }

// Load returns the load that the peer last reported.
func (pst PeerState) Load() float64 { return pst.load }

// RTT returns the round-trip time of the last probe.
func (pst PeerState) RTT() time.Duration { return pst.rtt }

// ControlHandler replies to control messages from peers.
type ControlHandler interface {
	// HandleControl handles one message from the node of a host and returns the reply, or nil for none.
	HandleControl(ctx context.Context, host string, msg proto.Message) (proto.Message, error)
	// LocalLoad returns this node's load and whether its host is leaving, for replies to probes.
	LocalLoad() (load float64, leaving bool)
}

// ConfigSource reads the platform's configuration service.
type ConfigSource interface {
	// Read returns the current version of a document, or ErrUnchanged while that would be less complete than the version
	// in force at the caller. That is heldVersion, or 0 for none.
	Read(ctx context.Context, name string, heldVersion uint64) (Document, error)
	// WaitChange returns a document once its version is above afterVersion, or ErrUnchanged after maxWait.
	WaitChange(ctx context.Context, name string, afterVersion uint64, maxWait time.Duration) (Document, error)
}

// The names of the documents in the platform's configuration service.
const (
	DocumentDeclarations = "declarations"
	DocumentHosts        = "hosts"
)

// Document is one version of a document in the configuration service.
type Document struct {
	name    string
	version uint64
	data    []byte
}

// NewDocument returns a document as published.
func NewDocument(name string, version uint64, data []byte) Document {
	return Document{name: name, version: version, data: data}
}

// Name returns the name of the document.
func (doc Document) Name() string { return doc.name }

// Version returns the published version.
func (doc Document) Version() uint64 { return doc.version }

// Data returns the published bytes.
func (doc Document) Data() []byte { return doc.data }

// ErrUnchanged means that there is no newer version of the document to put in force.
var ErrUnchanged = errUnchanged{}

type errUnchanged struct{}

func (errUnchanged) Error() string { return "the document has not changed; wait again" }
