package back

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

const (
	defaultIdleTimeout   = 4 * time.Second // below the usual idle timeouts of servers, which start at 5 s
	defaultDialTimeout   = 500 * time.Millisecond
	maxHeaderBytes       = 32 << 10
	maxBufferedBodyBytes = 64 << 10 // bytes of a body that a retry may send again
	maxDrainedBytes      = 4 << 10  // body of a shed answer that is read to keep the connection
	maxMismatchedAnswers = 2        // answers to other calls that are passed over
)

// Settings says where the upstream is and what it bears.
type Settings struct {
	BaseURL     string        // such as http://127.0.0.1:8080
	Connections int           // bound on open connections
	DialTimeout time.Duration // 500 ms when zero
	OnCrash     func()        // called once when the upstream seems to have crashed, until it answers again; may be nil
	IdleTimeout time.Duration // after which an unused connection is closed; 4 s when zero
	// Dialect sets and judges headers; nil means amaranthline's own.
	Dialect core.UpstreamDialect
}

// Client sends calls to the upstream; it implements core.Upstream.
type Client struct {
	base           *url.URL
	pool           *pool
	dialect        core.UpstreamDialect
	pinnedInstance atomic.Pointer[string]
	inFlight       atomic.Int64
	detector       crashDetector
}

var _ core.CheckedUpstream = (*Client)(nil)

// BaseURLError says that the address of the upstream cannot be used.
type BaseURLError struct{ base string }

// Error returns the address and the remedy.
func (bue *BaseURLError) Error() string {
	return fmt.Sprintf("upstream address %q cannot be used; give a URL such as http://127.0.0.1:8080", bue.base)
}

// New returns a client; a base URL that cannot be used makes every call fail with a BaseURLError.
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
	cli := &Client{detector: crashDetector{onCrash: set.OnCrash}, dialect: set.Dialect}
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

// PinInstance names the start of the upstream to which further calls are sent; "" means any.
func (cli *Client) PinInstance(instance string) { cli.pinnedInstance.Store(&instance) }

// Health asks the upstream at a path, over a connection of the pool.
func (cli *Client) Health(ctx context.Context, path string) (core.Health, error) {
	con, err := cli.pool.get(ctx, true)
	if err != nil {
		return core.Health{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = con.SetDeadline(expiredDeadline) })
	defer stop()
	req := &http.Request{Method: http.MethodGet}
	_, err = con.Write(requestHead(req.Method, path, cli.base.Host, nil, 0))
	var rsp *http.Response
	if err == nil {
		rsp, err = con.readResponse(req) //nolint:bodyclose // the connection is kept or closed as a whole
	}
	if err != nil {
		con.discard()
		return core.Health{}, err
	}
	cli.detector.recordAnswer()
	got, err := io.Copy(io.Discard, io.LimitReader(rsp.Body, maxDrainedBytes))
	if err != nil || got == maxDrainedBytes || rsp.Close || !stop() {
		con.discard()
	} else {
		con.put(rsp.Header.Get("Keep-Alive"))
	}
	return cli.dialect.ParseHealth(rsp.StatusCode, rsp.Header), nil
}

// Close closes the connections that are not in use.
func (cli *Client) Close() { cli.pool.closeIdle() }

// Down says whether the upstream seems to have crashed and has not been seen to listen since.
func (cli *Client) Down() bool { return cli.detector.down.Load() }

// Probe connects to an upstream that is down; one that listens again is no longer down. Without it a host that
// gets no calls, because it is down, would never be seen to return.
func (cli *Client) Probe(ctx context.Context) {
	if !cli.Down() {
		return
	}
	conn, err := cli.pool.dialer.DialContext(ctx, "tcp", cli.base.Host)
	if err != nil {
		return
	}
	_ = conn.Close()
	cli.detector.recordAnswer()
}

// InFlight returns the calls that wait for the upstream or for the rest of its answer.
func (cli *Client) InFlight() int64 { return cli.inFlight.Load() }

// Do sends one call with the token that its nested calls must present. When it returns an error for a call with a
// body of at most 64 KiB, the body is not read any more, unless ctx has ended.
func (cli *Client) Do(ctx context.Context, call *core.Call, token string) (*core.Answer, error) {
	cancel := context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); !ok || deadline.After(call.Deadline()) {
		ctx, cancel = context.WithDeadline(ctx, call.Deadline())
	}
	att := &attempt{cli: cli, ctx: ctx, cancel: cancel, call: call}
	ans, err := att.do(token)
	if err != nil {
		att.finish()
		return nil, err
	}
	return ans, nil
}

// past is any time in the past, as a deadline that unblocks a connection.
var expiredDeadline = time.Unix(1, 0)

// attempt is one call on its way.
type attempt struct {
	cli        *Client
	ctx        context.Context
	cancel     context.CancelFunc
	call       *core.Call
	finishOnce sync.Once

	countedInFlight bool // in the client's calls in flight
	con             *conn
	stopInterrupt   func() bool
	wrote           bool // any byte of the request was handed to the operating system
	body            *requestBody
	bodyEnded       chan struct{} // closed when a long body is not read any more; nil for others
}

func (att *attempt) do(token string) (*core.Answer, error) {
	request, err := att.prepare(token)
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
	// The end of the context closes the exchange also while the answer's body is read.
	att.stopInterrupt = context.AfterFunc(att.ctx, func() { _ = con.SetDeadline(expiredDeadline) })
	if err := att.write(request); err != nil {
		return nil, att.errorBeforeHead(err)
	}
	return att.readAnswer()
}

// start returns the head of the request, with the body when that is short.
func (att *attempt) prepare(token string) ([]byte, error) {
	cli, call := att.cli, att.call
	if cli.base.Host == "" {
		cause := &BaseURLError{base: cli.base.Opaque}
		return nil, newError(ResultFailed, core.ReasonNoUpstream, core.OutcomeNotRun, cause.Error(), cause)
	}
	remaining := time.Until(call.Deadline())
	if remaining <= 0 {
		return nil, newError(ResultTimeout, core.ReasonDeadline, core.OutcomeNotRun, "no time is left for the upstream", nil)
	}
	hdr := wire.EndToEnd(call.Header())
	hdr.Del("Expect")
	cli.dialect.SetCallHeaders(hdr, call, token, *cli.pinnedInstance.Load(), remaining)
	host := cli.base.Host
	if call.Authority() != "" {
		host = call.Authority()
	}
	if !validRequestTarget(call.Path()) || !validHeaderText(host) {
		return nil, newError(ResultFailed, core.ReasonBadRequest, core.OutcomeNotRun, "the path or the host cannot be sent", nil)
	}
	for name, values := range hdr {
		if !validHeaderText(name) || !validHeaderText(strings.Join(values, "")) {
			return nil, newError(ResultFailed, core.ReasonBadRequest, core.OutcomeNotRun, "a header cannot be sent", nil)
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

// write sends the request. A long body is sent by a goroutine of its own, because the upstream may answer before it
// has read it.
func (att *attempt) write(request []byte) error {
	att.wrote = true // a write that fails part way may have reached the upstream
	got, err := att.con.Write(request)
	if err != nil {
		att.wrote = got > 0
		return err
	}
	if att.body != nil {
		att.bodyEnded = make(chan struct{})
		go sendBody(att.con, att.body, att.bodyEnded)
	}
	return nil
}

func sendBody(con *conn, body *requestBody, done chan<- struct{}) {
	defer close(done)
	var err error
	if body.length < 0 {
		if _, err = io.Copy(chunkedWriter{con.Conn}, body); err == nil {
			_, err = io.WriteString(con.Conn, "0\r\n\r\n")
		}
	} else {
		_, err = io.CopyN(con.Conn, body, body.length)
	}
	if err != nil && body.readError() != nil {
		_ = con.SetDeadline(expiredDeadline) // the answer to half a request is of no use
	}
}

// read returns the answer to the call. Answers to other calls, which an upstream may send late or twice, are passed
// over: the identifier that it echoes tells them apart.
func (att *attempt) readAnswer() (*core.Answer, error) {
	req := &http.Request{Method: att.call.Method()}
	for skipped := 0; ; skipped++ {
		rsp, err := att.con.readResponse(req) //nolint:bodyclose // the connection is kept or closed as a whole
		if err != nil {
			return nil, att.errorBeforeHead(err)
		}
		att.cli.detector.recordAnswer()
		ref := att.cli.dialect.ClassifyAnswer(att.call, rsp.StatusCode, rsp.Header)
		if ref == nil {
			return att.newAnswer(rsp), nil
		}
		if ref.Reason() != core.ReasonMismatchedAnswer || skipped == maxMismatchedAnswers || !connReusable(rsp) {
			return nil, att.refusalError(rsp, ref)
		}
		if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
			return nil, att.errorBeforeHead(err)
		}
	}
}

// delimited says whether another answer can follow on the connection.
func connReusable(rsp *http.Response) bool {
	return !rsp.Close && (rsp.ContentLength >= 0 || len(rsp.TransferEncoding) > 0)
}

func (att *attempt) newAnswer(rsp *http.Response) *core.Answer {
	hdr := wire.EndToEnd(rsp.Header)
	att.cli.dialect.SetAnswerHeaders(hdr)
	bod := &answerBody{att: att, rsp: rsp}
	fee := core.NewFeedback(att.call.RetryBudget(), 1, 0, false)
	return core.NewAnswer(rsp.StatusCode, hdr, bod, func() core.Feedback { return fee })
}

// refused returns the refusal that an answer stands for. The connection is kept when the answer belongs to the call and
// its rest is short.
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

// release gives the connection back after a whole answer.
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
		default: // the rest of the body must not become the start of another request
		}
	}
	if !att.stopInterrupt() || rsp.Close || !bodySent || !connReusable(rsp) {
		return
	}
	att.con = nil
	con.put(rsp.Header.Get("Keep-Alive"))
}

// finish ends the exchange; a connection that was not released is closed.
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

// source is a request body that keeps the error of its reader.
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

// failed returns why the body could not be read, or nil.
func (rbo *requestBody) readError() error {
	rbo.mut.Lock()
	defer rbo.mut.Unlock()
	if errors.Is(rbo.err, io.EOF) && (rbo.length < 0 || rbo.readBytes >= rbo.length) {
		return nil
	}
	return rbo.err
}

// whole says whether all of the body has been read.
func (rbo *requestBody) readToEnd() bool {
	rbo.mut.Lock()
	defer rbo.mut.Unlock()
	if rbo.length < 0 {
		return errors.Is(rbo.err, io.EOF)
	}
	return rbo.readBytes >= rbo.length
}

// answerBody reads the rest of an answer; a cut one ends with a refusal of reason truncated.
type answerBody struct {
	att       *attempt
	rsp       *http.Response
	readBytes int
	err       error
}

// Read returns data, io.EOF for a whole answer, or a refusal.
func (abo *answerBody) Read(data []byte) (int, error) {
	if abo.err != nil {
		return 0, abo.err
	}
	got, err := abo.rsp.Body.Read(data)
	if abo.readBytes += got; abo.readBytes > wire.MaxAnswerBody {
		err = newError(ResultFailed, core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB", nil)
		got = 0
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

// Close gives the connection up when the answer has not been read to its end.
func (abo *answerBody) Close() error {
	if abo.err == nil {
		abo.err = io.ErrClosedPipe
	}
	abo.att.finish()
	return nil
}

func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return true
	}
	return false
}
