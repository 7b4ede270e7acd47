package back

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

const (
	defaultIdleTimeout   = 4 * time.Second // below the idle timeouts of common servers, which are 5 s and more
	defaultDialTimeout   = 500 * time.Millisecond
	maxHeaderBytes       = 32 << 10
	maxBufferedBodyBytes = 64 << 10              // longer bodies are streamed; a retry may send a buffered one again
	maxDrainedBytes      = 4 << 10               // longest body of a refusal or health answer that is read to reuse the connection
	maxMismatchedAnswers = 2                     // answers to other calls that are skipped before the call fails
	answerTime           = 10 * time.Millisecond // from the upstream's end of a call until the nodes give it up
)

// Settings are the parameters of a Client.
type Settings struct {
	BaseURL        string        // such as http://127.0.0.1:8080
	MaxConnections int           // maximum of connections in use
	DialTimeout    time.Duration // 500 ms when zero
	OnCrash        func()        // called when the upstream seems to have crashed, once until it is reached again; may be nil
	OnConnLost     func()        // called when a connection is lost or cannot be established; may be nil
	IdleTimeout    time.Duration // how long an idle connection may be reused; 4 s when zero
	// Dialect sets the headers of calls and classifies answers; nil means amaranthline's own headers.
	Dialect core.UpstreamDialect
}

// Client sends calls to the upstream; it implements core.CheckedUpstream and core.SendReporter.
type Client struct {
	base           *url.URL
	pool           *pool
	dialect        core.UpstreamDialect
	pinnedInstance atomic.Pointer[string] // "" means any
	inFlight       atomic.Int64
	detector       crashDetector
}

var (
	_ core.CheckedUpstream = (*Client)(nil)
	_ core.SendReporter    = (*Client)(nil)
)

// BaseURLError reports a base URL of the upstream that cannot be used.
type BaseURLError struct{ base string }

// Error returns the base URL and the remedy.
func (bue *BaseURLError) Error() string {
	return fmt.Sprintf("upstream address %q cannot be used; give an http URL such as http://127.0.0.1:8080", bue.base)
}

// New returns a client. With a base URL that cannot be used, every call fails with a BaseURLError.
func New(set Settings) *Client {
	if set.DialTimeout == 0 {
		set.DialTimeout = defaultDialTimeout
	}
	if set.IdleTimeout == 0 {
		set.IdleTimeout = defaultIdleTimeout
	}
	if set.Dialect == nil {
		set.Dialect = defaultDialect{}
	}
	if set.OnConnLost == nil {
		set.OnConnLost = func() {}
	}
	cli := &Client{detector: crashDetector{onCrash: set.OnCrash, onConnLost: set.OnConnLost}, dialect: set.Dialect}
	cli.PinInstance("")
	base, err := url.Parse(set.BaseURL)
	if err == nil && base.Scheme == "http" && base.Host != "" {
		cli.base = base
	} else {
		cli.base = &url.URL{Opaque: set.BaseURL}
	}
	cli.pool = newPool(cli.base.Host, set)
	return cli
}

// PinInstance sets the instance, one start of the upstream's process, to which further calls are addressed; "" means
// any.
func (cli *Client) PinInstance(instance string) { cli.pinnedInstance.Store(&instance) }

// errMismatchedHealth reports that the answers to calls arrived in place of the answer to a health check.
var errMismatchedHealth = errors.New("the upstream answered calls in place of the health check")

// Health sends a health check to a path of the upstream, over a connection of its own: its answer names no call, so that a
// late second one could be taken for that of the next health check.
func (cli *Client) Health(ctx context.Context, path string) (core.Health, error) {
	con, err := cli.pool.open(ctx)
	if err != nil {
		return core.Health{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = con.SetDeadline(expiredDeadline) })
	defer stop()
	req := &http.Request{Method: http.MethodGet}
	var rsp *http.Response
	var hea core.Health
	matches := false
	if _, err = con.Write(requestHead(req.Method, path, cli.base.Host, nil, 0)); err == nil {
		rsp, err = con.readMatching(req, func(rsp *http.Response) bool { //nolint:bodyclose // the connection is kept or closed as a whole
			cli.detector.markUp()
			hea, matches = cli.dialect.ParseHealth(rsp.StatusCode, rsp.Header)
			return matches
		})
	}
	if err == nil && !matches {
		err = errMismatchedHealth
	}
	if err != nil {
		con.discard()
		return core.Health{}, err
	}
	got, err := io.Copy(io.Discard, io.LimitReader(rsp.Body, maxDrainedBytes))
	if err != nil || got == maxDrainedBytes || !connReusable(rsp) || !cli.dialect.NamesCall(rsp.Header) || !stop() {
		con.discard()
	} else {
		con.put(rsp.Header.Get("Keep-Alive"))
	}
	return hea, nil
}

// Close closes the idle connections.
func (cli *Client) Close() { cli.pool.closeIdle() }

// IsDown reports whether the upstream seems to have crashed and has not accepted a connection or answered since.
func (cli *Client) IsDown() bool { return cli.detector.down.Load() }

// Probe connects to an upstream that is down, and marks it as up when that succeeds. A host whose upstream is down gets
// no calls, so its recovery would otherwise never be noticed.
func (cli *Client) Probe(ctx context.Context) {
	if !cli.IsDown() {
		return
	}
	conn, err := cli.pool.dialer.DialContext(ctx, "tcp", cli.base.Host)
	if err != nil {
		return
	}
	_ = conn.Close()
	cli.detector.markUp()
}

// InFlight returns the number of calls that wait for a connection, for the upstream or for the rest of its answer.
func (cli *Client) InFlight() int64 { return cli.inFlight.Load() }

// Do sends one call with the call token that its nested calls must present. After an error, a body of at most 64 KiB is not
// read any more, unless ctx has ended.
func (cli *Client) Do(ctx context.Context, call *core.Call, callToken string) (*core.Answer, error) {
	cancel := context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); !ok || deadline.After(call.Deadline()) {
		ctx, cancel = context.WithDeadline(ctx, call.Deadline())
	}
	att := &attempt{cli: cli, ctx: ctx, cancel: cancel, call: call}
	ans, err := att.do(callToken)
	if err != nil {
		att.finish()
		return nil, err
	}
	return ans, nil
}

// ReportsSent returns true.
func (*Client) ReportsSent() bool { return true }

// expiredDeadline is a time in the past; set as a connection's deadline it unblocks pending reads and writes.
var expiredDeadline = time.Unix(1, 0)

// attempt is the exchange of one call with the upstream.
type attempt struct {
	cli        *Client
	ctx        context.Context
	cancel     context.CancelFunc
	call       *core.Call
	finishOnce sync.Once

	countedInFlight bool // the client's inFlight includes this call
	con             *conn
	stopInterrupt   func() bool   // stops the function that aborts the exchange when ctx ends
	wrote           bool          // bytes of the request may have reached the operating system
	body            *requestBody  // nil when there is none, or when it was sent with the head
	bodyWriter      *bodyWriter   // nil when body is
	bodyEnded       chan struct{} // closed when sending a long body has ended; nil when there is none
}

func (att *attempt) do(callToken string) (*core.Answer, error) {
	request, err := att.prepare(callToken)
	if err != nil {
		return nil, err
	}
	att.cli.inFlight.Add(1)
	att.countedInFlight = true
	con, err := att.cli.pool.get(att.ctx, att.call.Idempotent())
	if err != nil {
		return nil, att.errorBeforeHead(err)
	}
	att.con = con
	// The end of the context aborts the exchange at any point, also while the answer's body is read.
	att.stopInterrupt = context.AfterFunc(att.ctx, func() { _ = con.SetDeadline(expiredDeadline) })
	if err := att.write(request); err != nil {
		return nil, att.errorBeforeHead(err)
	}
	return att.readAnswer()
}

// prepare returns the head of the request, followed by the body when that is short.
func (att *attempt) prepare(callToken string) ([]byte, error) {
	cli, call := att.cli, att.call
	if cli.base.Host == "" {
		cause := &BaseURLError{base: cli.base.Opaque}
		return nil, newError(ResultFailed, core.ReasonNoUpstream, core.OutcomeNotRun, cause.Error(), cause)
	}
	remaining := time.Until(call.Deadline())
	if remaining <= 0 {
		return nil, newError(ResultTimeout, core.ReasonDeadline, core.OutcomeNotRun, "the deadline passed before the call was sent to the upstream", nil)
	}
	hdr := wire.EndToEnd(call.Header())
	hdr.Del("Expect")
	// The upstream ends the call a little before the nodes give it up, so that its answer still reaches them.
	remaining = max(remaining-answerTime, remaining/2)
	cli.dialect.SetCallHeaders(hdr, call, callToken, *cli.pinnedInstance.Load(), remaining)
	host := cli.base.Host
	if call.Authority() != "" {
		host = call.Authority()
	}
	if !validRequestTarget(call.Path()) || !validHeaderText(host) {
		return nil, newError(ResultFailed, core.ReasonBadRequest, core.OutcomeNotRun, "the path or the Host header is not valid in an HTTP/1.1 request", nil)
	}
	for name, values := range hdr {
		if !validHeaderText(name) || !validHeaderText(strings.Join(values, "")) {
			return nil, newError(ResultFailed, core.ReasonBadRequest, core.OutcomeNotRun, "a header contains a line break or a null character", nil)
		}
	}
	length := call.Length()
	if call.Body() == nil {
		length = 0
	}
	buf := requestHead(call.Method(), call.Path(), host, hdr, length)
	if length == 0 {
		return buf, nil
	}
	att.body = &requestBody{reader: call.Body(), length: length}
	if length < 0 || length > maxBufferedBodyBytes {
		return buf, nil
	}
	headBytes := len(buf)
	buf = append(buf, make([]byte, length)...)
	if _, err := io.ReadFull(att.body, buf[headBytes:]); err != nil {
		return nil, att.errorBeforeHead(err)
	}
	att.body = nil
	return buf, nil
}

// write sends the request. A separate goroutine sends a long body, because the upstream may answer before it has read
// all of it.
func (att *attempt) write(request []byte) error {
	att.wrote = true // a write that fails after some bytes may have reached the upstream
	got, err := att.con.Write(request)
	if got > 0 {
		att.call.ReportSent()
	}
	if err != nil {
		att.wrote = got > 0
		return err
	}
	if att.body != nil {
		att.bodyEnded = make(chan struct{})
		att.bodyWriter = &bodyWriter{conn: att.con.Conn}
		go sendBody(att.bodyWriter, att.body, att.bodyEnded)
	}
	return nil
}

func sendBody(bow *bodyWriter, body *requestBody, done chan<- struct{}) {
	defer close(done)
	var err error
	if body.length < 0 {
		if _, err = io.Copy(chunkedWriter{bow}, body); err == nil {
			_, err = io.WriteString(bow, "0\r\n\r\n")
		}
	} else {
		_, err = io.CopyN(bow, body, body.length)
	}
	if err != nil && body.readError() != nil {
		_ = bow.conn.SetDeadline(expiredDeadline) // the answer to an incomplete request is useless
	}
}

// bodyWriter writes the body of a request to a connection and keeps the error of a write.
type bodyWriter struct {
	conn net.Conn
	mut  sync.Mutex // held during a write
	err  error
}

// Write writes a part of the body.
func (bow *bodyWriter) Write(data []byte) (int, error) {
	bow.mut.Lock()
	defer bow.mut.Unlock()
	got, err := bow.conn.Write(data)
	if err != nil {
		bow.err = err
	}
	return got, err
}

// connError returns the error that broke the connection if a write has received it, or nil. Linux reports such an error once:
// after the write, a read returns io.EOF, as if the peer had ended the connection in order. EPIPE does not count, because it
// stands for a reset that came after the peer's end of the connection. Nothing more can be written after the call.
func (bow *bodyWriter) connError() error {
	_ = bow.conn.SetWriteDeadline(expiredDeadline) // ends a write that waits for the peer
	bow.mut.Lock()
	defer bow.mut.Unlock()
	if errors.Is(bow.err, syscall.EPIPE) || errors.Is(bow.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return bow.err
}

// readAnswer returns the answer to the call. It skips answers to other calls, which an upstream may send late or twice;
// the dialect recognizes them by the call identifier that the upstream echoes.
func (att *attempt) readAnswer() (*core.Answer, error) {
	var ref *core.Refusal
	rsp, err := att.con.readMatching(&http.Request{Method: att.call.Method()}, func(rsp *http.Response) bool { //nolint:bodyclose // the connection is kept or closed as a whole
		att.cli.detector.markUp()
		ref = att.cli.dialect.ClassifyAnswer(att.call, rsp.StatusCode, rsp.Header)
		return ref == nil || ref.Reason() != core.ReasonMismatchedAnswer
	})
	switch {
	case err != nil:
		return nil, att.errorBeforeHead(err)
	case ref != nil:
		return nil, att.refusalError(rsp, ref)
	}
	return att.newAnswer(rsp), nil
}

func (att *attempt) newAnswer(rsp *http.Response) *core.Answer {
	hdr := wire.EndToEnd(rsp.Header)
	att.cli.dialect.SetAnswerHeaders(hdr)
	if rsp.StatusCode == http.StatusNoContent {
		hdr.Del("Content-Length") // a caller that believes it would wait for a body that cannot come
	}
	bod := &answerBody{att: att, rsp: rsp}
	fee := core.NewFeedback(att.call.RetryBudget(), 1, 0, false)
	return core.NewAnswer(rsp.StatusCode, hdr, bod, func() core.Feedback { return fee })
}

// refusalError returns the error of an answer that the dialect classified as a refusal. The connection is reused when
// the answer belongs to the call and its body is short.
func (att *attempt) refusalError(rsp *http.Response, ref *core.Refusal) error {
	res := ResultFailed
	if ref.Outcome() == core.OutcomeNotRun {
		res = ResultShed
		if got, err := io.Copy(io.Discard, io.LimitReader(rsp.Body, maxDrainedBytes)); err == nil && got < maxDrainedBytes {
			att.release(rsp)
		}
	}
	return &Error{Refusal: ref, result: res}
}

// release returns the connection to the pool after a complete answer, if it can be reused.
func (att *attempt) release(rsp *http.Response) {
	con := att.con
	if con == nil {
		return
	}
	bodySent := att.bodyEnded == nil
	if !bodySent {
		select {
		case <-att.bodyEnded:
			bodySent = att.body.readToEnd()
		default: // the rest of the body must not be taken for the start of another request
		}
	}
	if !att.stopInterrupt() || !bodySent || !connReusable(rsp) || !att.cli.dialect.NamesCall(rsp.Header) {
		return
	}
	att.con = nil
	con.put(rsp.Header.Get("Keep-Alive"))
}

// finish ends the exchange and closes a connection that was not released.
func (att *attempt) finish() {
	att.finishOnce.Do(func() {
		if att.con != nil {
			att.stopInterrupt()
			att.con.discard()
			att.con = nil
		}
		if att.countedInFlight {
			att.cli.inFlight.Add(-1)
		}
		att.cancel()
	})
}

// requestBody is the body of a request. It counts the bytes read and keeps the error of its reader.
type requestBody struct {
	reader    io.Reader
	length    int64 // -1 when it is unknown
	mut       sync.Mutex
	readBytes int64
	err       error
}

// Read reads the body.
func (rbo *requestBody) Read(data []byte) (int, error) {
	got, err := rbo.reader.Read(data)
	rbo.mut.Lock()
	defer rbo.mut.Unlock()
	rbo.readBytes += int64(got)
	if err != nil {
		rbo.err = err
	}
	return got, err
}

// readError returns why the body could not be read, or nil if there was no error. io.EOF is an error only before
// the announced length.
func (rbo *requestBody) readError() error {
	rbo.mut.Lock()
	defer rbo.mut.Unlock()
	if errors.Is(rbo.err, io.EOF) && (rbo.length < 0 || rbo.readBytes >= rbo.length) {
		return nil
	}
	return rbo.err
}

// readToEnd reports whether all of the body has been read.
func (rbo *requestBody) readToEnd() bool {
	rbo.mut.Lock()
	defer rbo.mut.Unlock()
	if rbo.length < 0 {
		return errors.Is(rbo.err, io.EOF)
	}
	return rbo.readBytes >= rbo.length
}

// answerBody reads the body of an answer; an incomplete one ends with a refusal of reason truncated.
type answerBody struct {
	att       *attempt
	rsp       *http.Response
	readBytes int
	err       error
}

// Read returns data, io.EOF at the end of a complete answer, or a refusal.
func (abo *answerBody) Read(data []byte) (int, error) {
	if abo.err != nil {
		return 0, abo.err
	}
	got, err := abo.rsp.Body.Read(data)
	if abo.readBytes += got; abo.readBytes > wire.MaxAnswerBody {
		err = newError(ResultFailed, core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB", nil)
		got = 0
	}
	if errors.Is(err, io.EOF) {
		err = abo.checkEnd()
	}
	switch {
	case err == nil:
		return got, nil
	case errors.Is(err, io.EOF):
		abo.att.release(abo.rsp)
		abo.err = io.EOF
	case abo.readBytes > wire.MaxAnswerBody:
		abo.err = err
	default:
		abo.err = abo.att.errorInBody(err)
	}
	abo.att.finish()
	return got, abo.err
}

// checkEnd returns io.EOF, or the error that broke the connection if nothing else marks the end of the answer.
func (abo *answerBody) checkEnd() error {
	if bow := abo.att.bodyWriter; bow != nil && endsWithConnection(abo.rsp) {
		if err := bow.connError(); err != nil {
			return err
		}
	}
	return io.EOF
}

// Close closes the connection when the answer has not been read to its end.
func (abo *answerBody) Close() error {
	if abo.err == nil {
		abo.err = io.ErrClosedPipe
	}
	abo.att.finish()
	return nil
}

// usuallyWithoutBody reports whether requests of a method need no Content-Length header when they have no body.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return true
	}
	return false
}
