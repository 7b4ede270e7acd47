package back

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

const (
	defaultIdle     = 4 * time.Second // below the usual idle timeouts of servers, which start at 5 s
	defaultDial     = 500 * time.Millisecond
	maxHeaderBytes  = 32 << 10
	maxReplayed     = 64 << 10 // bytes of a body that a retry may send again
	maxDrainedBytes = 4 << 10  // body of a shed answer that is read to keep the connection
)

// Settings says where the upstream is and what it bears.
type Settings struct {
	Base        string        // such as http://127.0.0.1:8080
	Connections int           // bound on open connections
	DialTimeout time.Duration // 500 ms when zero
	OnCrash     func()        // called once when the upstream seems to have crashed, until it answers again; may be nil
	IdleTimeout time.Duration // after which an unused connection is closed; 4 s when zero
	// Dialect sets and judges headers; nil means amaranthline's own.
	Dialect core.UpstreamDialect
}

// Client sends calls to the upstream; it implements core.Upstream.
type Client struct {
	base     *url.URL
	pool     *http.Transport
	dialect  core.UpstreamDialect
	instance atomic.Pointer[string]
	flight   atomic.Int64
	crash    detector
}

var _ core.Monitored = (*Client)(nil)

// BaseError says that the address of the upstream cannot be used.
type BaseError struct{ base string }

// Error returns the address and the remedy.
func (bae *BaseError) Error() string {
	return fmt.Sprintf("upstream address %q cannot be used; give a URL such as http://127.0.0.1:8080", bae.base)
}

// New returns a client; a base URL that cannot be used makes every call fail with a BaseError.
func New(set Settings) *Client {
	if set.DialTimeout == 0 {
		set.DialTimeout = defaultDial
	}
	if set.IdleTimeout == 0 {
		set.IdleTimeout = defaultIdle
	}
	if set.Dialect == nil {
		set.Dialect = own{}
	}
	cli := &Client{crash: detector{report: set.OnCrash}, dialect: set.Dialect}
	cli.Expect("")
	base, err := url.Parse(set.Base)
	if err == nil && base.Scheme == "http" && base.Host != "" {
		cli.base = base
	} else {
		cli.base = &url.URL{Opaque: set.Base}
	}
	dialer := &net.Dialer{Timeout: set.DialTimeout}
	cli.pool = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        set.Connections,
		MaxIdleConnsPerHost:    set.Connections,
		IdleConnTimeout:        set.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return cli
}

// Expect names the start of the upstream to which further calls are sent; "" means any.
func (cli *Client) Expect(instance string) { cli.instance.Store(&instance) }

// Health asks the upstream at a path, over a connection of the pool.
func (cli *Client) Health(ctx context.Context, path string) (core.Health, error) {
	target := *cli.base
	target.Path = path
	req := (&http.Request{Method: http.MethodGet, URL: &target, Host: target.Host, Header: http.Header{}}).WithContext(ctx)
	rsp, err := cli.pool.RoundTrip(req)
	if err != nil {
		return core.Health{}, err
	}
	defer func() { _ = rsp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(rsp.Body, maxDrainedBytes))
	cli.crash.answered()
	return cli.dialect.Health(rsp.StatusCode, rsp.Header), nil
}

// Close closes the connections that are not in use.
func (cli *Client) Close() { cli.pool.CloseIdleConnections() }

// Down says whether the upstream seems to have crashed and has not been seen to listen since.
func (cli *Client) Down() bool { return cli.crash.down.Load() }

// Probe connects to an upstream that is down; one that listens again is no longer down. Without it a host that
// gets no calls, because it is down, would never be seen to return.
func (cli *Client) Probe(ctx context.Context) {
	if !cli.Down() {
		return
	}
	conn, err := cli.pool.DialContext(ctx, "tcp", cli.base.Host)
	if err != nil {
		return
	}
	_ = conn.Close()
	cli.crash.answered()
}

// InFlight returns the calls that wait for the upstream or for the rest of its answer.
func (cli *Client) InFlight() int64 { return cli.flight.Load() }

// Do sends one call with the token that its nested calls must present. When it returns an error for a call with a
// body of at most 64 KiB, the body is not read any more, unless ctx has ended.
func (cli *Client) Do(ctx context.Context, call *core.Call, token string) (*core.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	att := &attempt{cli: cli, ctx: ctx, cancel: cancel, call: call}
	req, err := att.request(ctx, token)
	if err != nil {
		cancel()
		return nil, err
	}
	cli.flight.Add(1)
	rsp, err := cli.pool.RoundTrip(req) //nolint:bodyclose // the reader of the answer closes it
	if err != nil {
		fail := att.failure(err)
		att.body.settle()
		att.finish()
		return nil, fail
	}
	return att.answer(rsp)
}

// attempt is one call on its way.
type attempt struct {
	cli    *Client
	ctx    context.Context
	cancel context.CancelFunc
	call   *core.Call
	body   *requestBody
	once   sync.Once

	mut  sync.Mutex // the trace runs on goroutines of net/http
	conn *countedConn
	from int64 // bytes that had been written to conn for earlier calls
}

// request builds the request so that net/http never sends it twice.
func (att *attempt) request(ctx context.Context, token string) (*http.Request, error) {
	target, err := att.target()
	if err != nil {
		return nil, err
	}
	remaining := time.Until(att.call.Deadline())
	if remaining <= 0 {
		return nil, newError(KindTimeout, core.ReasonDeadline, core.OutcomeNotRun, "no time is left for the upstream", nil)
	}
	hdr := wire.EndToEnd(att.call.Header())
	hdr.Del("Expect")
	att.cli.dialect.Send(hdr, att.call, token, *att.cli.instance.Load(), remaining)
	if _, ok := hdr["User-Agent"]; !ok {
		hdr["User-Agent"] = nil // keeps net/http from naming itself
	}
	hideIdempotencyKey(hdr)
	host := target.Host
	if att.call.Authority() != "" {
		host = att.call.Authority()
	}
	req := &http.Request{
		Method: att.call.Method(), URL: target, Host: host, Header: hdr,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	att.setBody(req)
	trace := &httptrace.ClientTrace{GotConn: att.gotConn}
	return req.WithContext(httptrace.WithClientTrace(ctx, trace)), nil
}

func (att *attempt) target() (*url.URL, error) {
	if att.cli.base.Host == "" {
		cause := &BaseError{base: att.cli.base.Opaque}
		return nil, newError(KindFailed, core.ReasonNoUpstream, core.OutcomeNotRun, cause.Error(), cause)
	}
	target, err := url.ParseRequestURI(att.call.Path())
	if err != nil || !strings.HasPrefix(att.call.Path(), "/") {
		return nil, newError(KindFailed, core.ReasonBadRequest, core.OutcomeNotRun, "the path cannot be parsed", err)
	}
	target.Scheme, target.Host, target.User = att.cli.base.Scheme, att.cli.base.Host, nil
	return target, nil
}

// hideIdempotencyKey writes the names in lower case, which means the same in HTTP. net/http sends a request without
// a body again after a lost connection when it finds one of these headers under its canonical name.
func hideIdempotencyKey(hdr http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := hdr[name]; ok {
			delete(hdr, name)
			hdr[strings.ToLower(name)] = values
		}
	}
}

// setBody gives every request a body that cannot be read again, because net/http sends GET, HEAD, OPTIONS and TRACE
// requests without a body again when a reused connection is lost before the answer. It finds the body of these
// methods empty before it writes the head, so the request on the wire stays without one.
func (att *attempt) setBody(req *http.Request) {
	src := att.call.Body()
	length := att.call.Length()
	if src == nil {
		src, length = http.NoBody, 0
	}
	att.body = &requestBody{src: src, length: length}
	switch {
	case length != 0:
		req.Body, req.ContentLength = att.body, length
	case usuallyEmpty(req.Method):
		req.Body = att.body
	default:
		req.Body = http.NoBody
	}
}

func usuallyEmpty(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return true
	}
	return false
}

func (att *attempt) gotConn(info httptrace.GotConnInfo) {
	att.mut.Lock()
	defer att.mut.Unlock()
	att.conn, _ = info.Conn.(*countedConn)
	if att.conn != nil {
		att.from = att.conn.written.Load()
	}
}

// wrote says whether any byte of the request was handed to the operating system.
func (att *attempt) wrote() bool {
	att.mut.Lock()
	defer att.mut.Unlock()
	return att.conn != nil && att.conn.written.Load() > att.from
}

func (att *attempt) finish() {
	att.once.Do(func() {
		att.cancel()
		att.cli.flight.Add(-1)
	})
}

func (att *attempt) answer(rsp *http.Response) (*core.Answer, error) {
	att.cli.crash.answered()
	if ref := att.cli.dialect.Judge(att.call, rsp.StatusCode, rsp.Header); ref != nil {
		return nil, att.refused(rsp, ref)
	}
	hdr := wire.EndToEnd(rsp.Header)
	att.cli.dialect.Answer(hdr)
	bod := &answerBody{att: att, src: rsp.Body}
	fee := core.NewFeedback(att.call.Budget(), 1, 0, false)
	return core.NewAnswer(rsp.StatusCode, hdr, bod, func() core.Feedback { return fee }), nil
}

// refused returns the refusal that an answer stands for. The connection is kept when the answer belongs to the call and
// its rest is short.
func (att *attempt) refused(rsp *http.Response, ref *core.Refusal) error {
	defer att.finish()
	knd := KindFailed
	if ref.Outcome() == core.OutcomeNotRun {
		knd = KindShed
		if rsp.ContentLength >= 0 && rsp.ContentLength <= maxDrainedBytes {
			_, _ = io.Copy(io.Discard, rsp.Body)
		}
	}
	_ = rsp.Body.Close()
	att.body.settle()
	return &Error{Refusal: ref, kind: knd}
}

// countedConn counts the bytes that the operating system took. A write counts in full before it starts and is
// corrected after it, so that a call whose write has just reached the upstream never reads as not run.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts and writes.
func (cco *countedConn) Write(data []byte) (int, error) {
	cco.written.Add(int64(len(data)))
	got, err := cco.Conn.Write(data)
	cco.written.Add(int64(got - len(data)))
	return got, err
}

// requestBody stops reading its source when the call has ended, and keeps the error of the source.
type requestBody struct {
	src    io.Reader
	length int64
	mut    sync.Mutex // held during a read of the source
	closed atomic.Bool
	err    atomic.Pointer[error]
}

// Read reads the source unless the call has ended.
func (bod *requestBody) Read(data []byte) (int, error) {
	bod.mut.Lock()
	defer bod.mut.Unlock()
	if bod.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	got, err := bod.src.Read(data)
	if err != nil && err != io.EOF {
		bod.err.Store(&err)
	}
	return got, err
}

// Close stops further reads; one that is in progress ends with its source.
func (bod *requestBody) Close() error {
	bod.closed.Store(true)
	return nil
}

// settle waits for a read in progress when a retry may send the body again.
func (bod *requestBody) settle() {
	bod.closed.Store(true)
	if bod.length >= 0 && bod.length <= maxReplayed {
		bod.mut.Lock()
		defer bod.mut.Unlock()
	}
}

// answerBody reads the rest of an answer; a cut one ends with a refusal of reason truncated.
type answerBody struct {
	att   *attempt
	src   io.ReadCloser
	total int
}

// Read returns data, io.EOF for a whole answer, or a refusal.
func (abo *answerBody) Read(data []byte) (int, error) {
	got, err := abo.src.Read(data)
	if abo.total += got; abo.total > wire.MaxAnswerBody {
		_ = abo.Close()
		return 0, newError(KindFailed, core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB", nil)
	}
	if err == nil {
		return got, nil
	}
	defer abo.att.finish()
	if err == io.EOF {
		return got, err
	}
	return got, abo.att.cut(err)
}

// Close gives the connection up when the answer has not been read to its end.
func (abo *answerBody) Close() error {
	err := abo.src.Close()
	abo.att.finish()
	return err
}
