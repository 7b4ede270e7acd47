package core

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"
)

// Handler serves calls; the request path implements it for peers and for callers.
type Handler interface {
	// Serve runs a call and returns its answer, or an error that AsRefusal understands.
	Serve(ctx context.Context, call *Call) (*Answer, error)
}

// Upstream is the back end process of this host.
type Upstream interface {
	// Do sends one call with the token that its nested calls must present.
	Do(ctx context.Context, call *Call, token string) (*Answer, error)
}

// Health is what an upstream says of itself when it is asked.
type Health struct {
	instance      string
	serving       bool
	coldRemaining time.Duration
}

// NewHealth returns what an upstream said: which start of it answered, whether it takes work, and how long it stays cold.
func NewHealth(instance string, serving bool, coldRemaining time.Duration) Health {
	return Health{instance: instance, serving: serving, coldRemaining: coldRemaining}
}

// Instance returns the identifier of the upstream's present start, or "".
func (hea Health) Instance() string { return hea.instance }

// Serving says whether the upstream takes work.
func (hea Health) Serving() bool { return hea.serving }

// ColdRemaining returns how much longer the upstream stays cold.
func (hea Health) ColdRemaining() time.Duration { return hea.coldRemaining }

// CheckedUpstream is an upstream that can be asked for its health, and that is told which of its starts is meant.
type CheckedUpstream interface {
	Upstream
	// PinInstance names the start of the upstream to which further calls are sent; "" means any.
	PinInstance(instance string)
	// Health asks the upstream at a path.
	Health(ctx context.Context, path string) (Health, error)
}

// EventLog takes the log lines of decisions and must not block. Lines beyond a rate are counted instead of written.
type EventLog interface {
	// Note writes one line: what was decided, for which caller's attempt, and by which inputs.
	Note(event, attemptID string, fields map[string]any)
	// Enabled says whether a line of the event would be written now; if not, it is counted as left out. It saves the
	// collecting of fields for events of each request.
	Enabled(event string) bool
}

// CallerDialect translates between requests of callers and the headers that they use.
type CallerDialect interface {
	// ParseRequest takes what the request path needs from a request. The header in the result is the caller's
	// end-to-end header without what only the system may set.
	ParseRequest(hrq *http.Request) (RequestSpec, *Refusal)
	// SetRefusalHeaders sets the headers of a refusal.
	SetRefusalHeaders(hdr http.Header, ref *Refusal)
	// SetAnswerHeaders changes the end-to-end headers of a whole answer.
	SetAnswerHeaders(hdr http.Header)
}

// UpstreamDialect translates between calls and the headers that an upstream uses.
type UpstreamDialect interface {
	// SetCallHeaders sets the headers of a call; token is what its nested calls present, and instance names the start
	// of the upstream that is meant, or is "".
	SetCallHeaders(hdr http.Header, call *Call, token, instance string, remaining time.Duration)
	// ClassifyAnswer returns nil for an answer of the application to this call, or the refusal that the answer stands
	// for.
	ClassifyAnswer(call *Call, status int, hdr http.Header) *Refusal
	// SetAnswerHeaders changes the end-to-end headers of an answer.
	SetAnswerHeaders(hdr http.Header)
	// ParseHealth reads the answer to a health check.
	ParseHealth(status int, hdr http.Header) Health
}

// Peers reaches the other nodes.
type Peers interface {
	// Forward sends a call to the node of a host.
	Forward(ctx context.Context, host string, call *Call) (*Answer, error)
	// Exchange sends one control message and returns the reply, or nil when the peer had none.
	Exchange(ctx context.Context, host string, msg proto.Message) (proto.Message, error)
	// SetPeers gives the addresses by host, and the hosts to which connections are kept open.
	SetPeers(addrs map[string]string, keepConnected []string)
	// State returns what the connection to a host shows.
	State(host string) PeerState
}

// PeerState is what a node sees of a peer by its own connection.
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

// Known says whether there has been any probe; the zero state is unknown.
func (pst PeerState) Known() bool { return pst.known }

// Up says whether the last probes were answered.
func (pst PeerState) Up() bool { return pst.up }

// Leaving says whether the peer drains.
func (pst PeerState) Leaving() bool { return pst.leaving }

// Load returns the load that the peer last reported.
func (pst PeerState) Load() float64 { return pst.load }

// RTT returns the round-trip time of the last probe.
func (pst PeerState) RTT() time.Duration { return pst.rtt }

// ControlHandler answers control messages from peers.
type ControlHandler interface {
	// HandleControl handles one message from the node of a host and returns the reply, or nil.
	HandleControl(ctx context.Context, host string, msg proto.Message) (proto.Message, error)
	// LocalLoad returns this node's load and drain state, for answers to probes.
	LocalLoad() (load float64, leaving bool)
}

// ConfigSource reads the platform's configuration service.
type ConfigSource interface {
	// Read returns the current document.
	Read(ctx context.Context, name string) (Document, error)
	// WaitChange returns the first document above a version, or ErrUnchanged after the wait.
	WaitChange(ctx context.Context, name string, afterVersion uint64, maxWait time.Duration) (Document, error)
}

// Document names of the platform.
const (
	DocumentDeclarations = "declarations"
	DocumentHosts        = "hosts"
)

// Document is one version of a published value.
type Document struct {
	name    string
	version uint64
	data    []byte
}

// NewDocument returns a document as published.
func NewDocument(name string, version uint64, data []byte) Document {
	return Document{name: name, version: version, data: data}
}

// Name returns the name of the value.
func (doc Document) Name() string { return doc.name }

// Version returns the published version.
func (doc Document) Version() uint64 { return doc.version }

// Data returns the published bytes.
func (doc Document) Data() []byte { return doc.data }

// ErrUnchanged says that a wait ended without a newer document.
var ErrUnchanged = errUnchanged{}

type errUnchanged struct{}

func (errUnchanged) Error() string { return "the document has not changed; wait again" }
