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

// Times of connections, sessions and probes.
const (
	dialTimeout         = 500 * time.Millisecond // all of TCP, TLS, Hello and the first probe
	handshakeTimeout    = 2 * time.Second
	firstFrameTimeout   = 2 * time.Second // from the start of a stream to its first frame
	probeIntervalBusy   = 250 * time.Millisecond
	probeIntervalIdle   = time.Second
	probeSilenceTimeout = 5 * time.Second // five idle probes
	controlTimeout      = 5 * time.Second
	defaultIdleTimeout  = time.Minute
	minRedialPause      = 50 * time.Millisecond
	maxRedialPause      = time.Second
	stableSessionTime   = time.Second // a session that lasted this long resets the backoff
	drainPollInterval   = 5 * time.Millisecond
	writeTimeout        = 2 * time.Second // longer than the time in which probes find a silent connection
	streamCloseTimeout  = 10 * time.Second
	maxRemaining        = time.Hour
)

// Bounds of counts.
const (
	maxMissedProbes      = 3    // probes in a row
	maxSessionCalls      = 1024 // per session
	maxSessionsPerHost   = 4    // accepted from one host
	maxPendingHandshakes = 256  // connections that have not yet sent their Hello
	streamAcceptBacklog  = 256  // streams of a session that wait to be accepted
	offsetSamples        = 8    // recent probes from which the one with the shortest round trip gives the clock offset
	yamuxHeaderBytes     = 12   // bytes in front of every yamux frame
	yamuxLengthOffset    = 8    // place of the length in that header
)

// InsecureError says that an address outside loopback would be used without TLS.
type InsecureError struct{ address string }

// Address returns the address.
func (ins *InsecureError) Address() string { return ins.address }

// Error returns the address and the remedy.
func (ins *InsecureError) Error() string {
	return fmt.Sprintf("peer address %q is not on loopback and TLS is not configured; "+
		"give a certificate, its key and the CA, or use 127.0.0.1", ins.address)
}

// IdentityError says that a peer is not the host that it claims or was dialled as.
type IdentityError struct {
	host  string
	names []string
}

// Error returns the claimed host, the proven names and the remedy.
func (ide *IdentityError) Error() string {
	return fmt.Sprintf("peer is %q, not host %q; give each node a certificate with its host id "+
		"as DNS name or common name, and correct the address on the host list", ide.names, ide.host)
}

func isLoopback(addr string) bool {
	adp, err := netip.ParseAddrPort(addr)
	return err == nil && adp.Addr().IsLoopback()
}

// checkIdentity compares the host in a Hello with the names of the peer's certificate.
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

// clientConfig verifies the chain by itself, because a host id may be the common name of the certificate,
// which the verification of package tls does not accept. The name is checked by checkIdentity.
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

// joinConn joins the header and the data of a yamux frame, which yamux writes separately, into one write.
// Only the send loop of the session writes.
type coalescingConn struct {
	net.Conn
	unwritten []byte
}

// Write holds back a header that data follows.
func (coc *coalescingConn) Write(data []byte) (int, error) {
	if len(coc.unwritten) == 0 && dataFollows(data) {
		coc.unwritten = append(coc.unwritten, data...)
		return len(data), nil
	}
	if len(coc.unwritten) == 0 {
		return coc.Conn.Write(data)
	}
	coc.unwritten = append(coc.unwritten, data...)
	_, err := coc.Conn.Write(coc.unwritten)
	coc.unwritten = coc.unwritten[:0]
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

// dataFollows says whether a write is the header of a yamux data frame (version 0, type 0) that is not empty.
func dataFollows(data []byte) bool {
	return len(data) == yamuxHeaderBytes && data[0] == 0 && data[1] == 0 &&
		binary.BigEndian.Uint32(data[yamuxLengthOffset:]) > 0
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = streamAcceptBacklog
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = 0 // would start a goroutine and a timer for each stream; probes end silent sessions
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// brokeMux says whether a session ended because its peer broke the yamux protocol.
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

// ended returns the refusal for a call whose context ended.
func contextRefusal(ctx context.Context, out core.Outcome) *core.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return core.NewRefusal(core.ReasonDeadline, out, "the deadline passed between nodes").WithCause(ctx.Err())
	}
	return core.NewRefusal(core.ReasonCancelled, out, "the caller gave up").WithCause(ctx.Err())
}
