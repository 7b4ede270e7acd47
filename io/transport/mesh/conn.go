package mesh

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/yamux"

	"amaranthline/core"
)

// Timeouts and intervals of connections, sessions and probes.
const (
	dialTimeout         = 500 * time.Millisecond // for TCP, TLS, Hello and the first probe together
	handshakeTimeout    = 2 * time.Second
	firstFrameTimeout   = 2 * time.Second // from the start of a stream to its first frame
	probeIntervalBusy   = 250 * time.Millisecond
	probeIntervalIdle   = time.Second
	probeSilenceTimeout = 5 * time.Second // five times probeIntervalIdle
	controlTimeout      = 5 * time.Second
	defaultIdleTimeout  = time.Minute
	minRedialPause      = 50 * time.Millisecond
	maxRedialPause      = time.Second
	stableSessionTime   = time.Second // a session that lasted this long resets the redial pause
	drainPollInterval   = 5 * time.Millisecond
	writeTimeout        = 2 * time.Second // longer than probes take to detect a silent connection
	streamCloseTimeout  = 10 * time.Second
	maxRemainingTime    = time.Hour // upper bound of the remaining time that a peer gives for a call
)

// Bounds of counts and the layout of yamux frames.
const (
	maxMissedProbes     = 3    // unanswered probes in a row after which a session is ended; its calls go on on the next one
	maxSessionCalls     = 1024 // calls and control messages in flight on one session
	maxSessionsPerHost  = 4    // accepted from one host
	defaultHandshakes   = 256  // accepted connections that have not yet sent their Hello
	streamAcceptBacklog = 256  // streams of a session that the peer has opened and this node has not yet accepted
	offsetSamples       = 8    // recent probes among which the one with the shortest round-trip time gives the clock offset
	yamuxHeaderBytes    = 12   // length of the header of every yamux frame
	yamuxLengthOffset   = 8    // byte offset of the length field in that header
)

// InsecureError means that an address outside loopback would be used without TLS.
type InsecureError struct{ address string }

// Address returns the address that needs TLS.
func (ins *InsecureError) Address() string { return ins.address }

// Error returns the address and the remedy.
func (ins *InsecureError) Error() string {
	return fmt.Sprintf("peer address %q is not on loopback and TLS is not configured; "+
		"configure a certificate, its key and the CA, or use 127.0.0.1", ins.address)
}

// IdentityError means that a peer is not the host that its Hello names or that was dialled.
type IdentityError struct {
	host  string
	names []string // from the certificate, or from the Hello
}

// Error returns the expected host, the peer's names and the remedy.
func (ide *IdentityError) Error() string {
	return fmt.Sprintf("peer is %q, not host %q; give each node a certificate with its host id "+
		"as DNS name or common name, and correct the address on the host list", ide.names, ide.host)
}

func isLoopback(addr string) bool {
	adp, err := netip.ParseAddrPort(addr)
	return err == nil && adp.Addr().IsLoopback()
}

// checkIdentity checks that the peer's certificate names the host of its Hello; without TLS it accepts any host.
func checkIdentity(conn net.Conn, host string) error {
	tco, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	cert := tco.ConnectionState().PeerCertificates[0]
	names := append(slices.Clone(cert.DNSNames), cert.Subject.CommonName)
	if host == "" || !slices.Contains(names, host) {
		return &IdentityError{host: host, names: names}
	}
	return nil
}

func serverConfig(base *tls.Config) *tls.Config {
	cfg := base.Clone()
	cfg.MinVersion = tls.VersionTLS13
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg
}

// clientConfig makes package tls verify the certificate chain and not the name, because a host id may be the
// certificate's common name, which package tls does not accept. checkIdentity checks the name.
func clientConfig(base *tls.Config) *tls.Config {
	cfg := base.Clone()
	cfg.MinVersion = tls.VersionTLS13
	cfg.InsecureSkipVerify = true
	cfg.VerifyConnection = func(state tls.ConnectionState) error {
		opts := x509.VerifyOptions{Roots: cfg.RootCAs, Intermediates: x509.NewCertPool()}
		for _, cert := range state.PeerCertificates[1:] {
			opts.Intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(opts)
		return err
	}
	return cfg
}

// sessionConn is the connection below a yamux session. It writes the header and the data of a yamux frame, which yamux
// passes in two writes, in one write.
//
// A write that fails closes the connection and is not reported, so that a session ends only because a read has failed.
// After a failed write, yamux announces the end of the session before its reader has returned, and until then every
// goroutine that reads from a stream runs in a loop; on a host with one processor these hold up the reader.
type sessionConn struct {
	net.Conn
	raw       net.Conn // TCP connection, below TLS if that is used
	unwritten []byte   // header of a data frame whose data has not been passed to Write yet
}

// Write holds the header of a data frame back until its data is passed, and writes everything else directly. It needs no
// lock: only the send loop of the yamux session calls it.
func (sco *sessionConn) Write(data []byte) (int, error) {
	if len(sco.unwritten) == 0 && dataFollows(data) {
		sco.unwritten = append(sco.unwritten, data...)
		return len(data), nil
	}
	var err error
	if len(sco.unwritten) == 0 {
		_, err = sco.Conn.Write(data)
	} else {
		sco.unwritten = append(sco.unwritten, data...)
		_, err = sco.Conn.Write(sco.unwritten)
		sco.unwritten = sco.unwritten[:0]
	}
	if err != nil {
		_ = sco.raw.Close()
	}
	return len(data), nil
}

// endSession closes a connection and waits until its yamux session has ended. Session.Close alone would announce the end
// before its reader has returned, as sessionConn explains.
func endSession(raw net.Conn, mux *yamux.Session) {
	_ = raw.Close()
	<-mux.CloseChan()
	_ = mux.Close()
}

// dataFollows reports whether a write is the header of a yamux data frame (version 0, type 0) that is not empty.
func dataFollows(data []byte) bool {
	return len(data) == yamuxHeaderBytes && data[0] == 0 && data[1] == 0 &&
		binary.BigEndian.Uint32(data[yamuxLengthOffset:]) > 0
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = streamAcceptBacklog
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = 0 // a timeout costs a goroutine and a timer per stream; probes detect a silent session anyway
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// isYamuxViolation reports whether a session or its handshake ended because the peer violated the yamux protocol, or
// sent something other than TLS where TLS is required.
func isYamuxViolation(err error) bool {
	for _, kind := range []error{
		yamux.ErrInvalidVersion, yamux.ErrInvalidMsgType, yamux.ErrUnexpectedFlag,
		yamux.ErrDuplicateStream, yamux.ErrRecvWindowExceeded,
	} {
		if errors.Is(err, kind) {
			return true
		}
	}
	var rhe tls.RecordHeaderError
	return errors.As(err, &rhe)
}

func notRunRefusal(format string, args ...any) *core.Refusal {
	return core.NewRefusal(core.ReasonPeerFailed, core.OutcomeNotRun, fmt.Sprintf(format, args...))
}

// contextRefusal returns the refusal for a call whose context ended.
func contextRefusal(ctx context.Context, out core.Outcome) *core.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return core.NewRefusal(core.ReasonDeadline, out, "the deadline of the call passed while it was forwarded between nodes").WithCause(ctx.Err())
	}
	return core.NewRefusal(core.ReasonCancelled, out, "the caller cancelled the call").WithCause(ctx.Err())
}
