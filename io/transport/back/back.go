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
	defaultIdle     = 4 * time.Second // below the usual idle timeouts of servers, which start at 5 s
	defaultDial     = 500 * time.Millisecond
	maxHeaderBytes  = 32 << 10
	maxReplayed     = 64 << 10 // bytes of a body that a retry may send again
	maxDrainedBytes = 4 << 10  // body of a shed answer that is read to keep the connection
	maxForeign      = 2        // answers to other calls that are passed over
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
	base     *url.URL
	pool     *pool
	dialect  core.UpstreamDialect
	instance atomic.Pointer[string]
	flight   atomic.Int64
	crash    detector
}

var _ core.CheckedUpstream = (*Client)(nil)

// BaseURLError says that the address of the upstream cannot be used.
type BaseURLError struct{ base string }

// Error returns the address and the remedy.
func (bae *BaseURLError) Error() string {
	return fmt.Sprintf("upstream address %q cannot be used; give a URL such as http://127.0.0.1:8080", bae.base)
}

// New returns a client; a base URL that cannot be used makes every call fail with a BaseURLError.
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
func (cli *Client) PinInstance(instance string) { cli.instance.Store(&instance) }

// Health asks the upstream at a path, over a connection of the pool.
func (cli *Client) Health(ctx context.Context, path string) (core.Health, error) {
	con, err := cli.pool.get(ctx, true)
	if err != nil {
		return core.Health{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = con.SetDeadline(past) })
	defer stop()
	req := &http.Request{Method: http.MethodGet}
	_, err = con.Write(head(req.Method, path, cli.base.Host, nil, 0))
	var rsp *http.Response
	if err == nil {
		rsp, err = con.answer(req) //nolint:bodyclose // the connection is kept or closed as a whole
	}
	if err != nil {
		con.drop()
		return core.Health{}, err
	}
	cli.crash.answered()
	got, err := io.Copy(io.Discard, io.LimitReader(rsp.Body, maxDrainedBytes))
	if err != nil || got == maxDrainedBytes || rsp.Close || !stop() {
		con.drop()
	} else {
		con.put(rsp.Header.Get("Keep-Alive"))
	}
	return cli.dialect.ParseHealth(rsp.StatusCode, rsp.Header), nil
}

// Close closes the connections that are not in use.
func (cli *Client) Close() { cli.pool.close() }

// Down says whether the upstream seems to have crashed and has not been seen to listen since.
func (cli *Client) Down() bool { return cli.crash.down.Load() }

// Probe connects to an upstream that is down; one that listens again is no longer down. Without it a host that
// gets no calls, because it is down, would never be seen to return.
func (cli *Client) Probe(ctx context.Context) {
	if !cli.Down() {
		return
	}
	conn, err := cli.pool.dial.DialContext(ctx, "tcp", cli.base.Host)
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
	cancel := context.CancelFunc(func() {})
	if until, ok := ctx.Deadline(); !ok || until.After(call.Deadline()) {
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
var past = time.Unix(1, 0)

// attempt is one call on its way.
type attempt struct {
	cli    *Client
	ctx    context.Context
	cancel context.CancelFunc
	call   *core.Call
	once   sync.Once

	counted bool // in the client's calls in flight
	con     *conn
	unhook  func() bool
	wrote   bool // any byte of the request was handed to the operating system
	src     *source
	sending chan struct{} // closed when a long body is not read any more; nil for others
}

func (att *attempt) do(token string) (*core.Answer, error) {
	start, err := att.start(token)
	if err != nil {
		return nil, err
	}
	att.cli.flight.Add(1)
	att.counted = true
	con, err := att.cli.pool.get(att.ctx, att.call.Idempotent())
	if err != nil {
		return nil, att.failure(err)
	}
	att.con = con
	// The end of the context closes the exchange also while the answer's body is read.
	att.unhook = context.AfterFunc(att.ctx, func() { _ = con.SetDeadline(past) })
	if err := att.write(start); err != nil {
		return nil, att.failure(err)
	}
	return att.read()
}

// start returns the head of the request, with the body when that is short.
func (att *attempt) start(token string) ([]byte, error) {
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
	cli.dialect.SetCallHeaders(hdr, call, token, *cli.instance.Load(), remaining)
	host := cli.base.Host
	if call.Authority() != "" {
		host = call.Authority()
	}
	if !sendableTarget(call.Path()) || !sendable(host) {
		return nil, newError(ResultFailed, core.ReasonBadRequest, core.OutcomeNotRun, "the path or the host cannot be sent", nil)
	}
	for name, values := range hdr {
		if !sendable(name) || !sendable(strings.Join(values, "")) {
			return nil, newError(ResultFailed, core.ReasonBadRequest, core.OutcomeNotRun, "a header cannot be sent", nil)
		}
	}
	length := call.Length()
	if call.Body() == nil {
		length = 0
	}
	buf := head(call.Method(), call.Path(), host, hdr, length)
	if length == 0 {
		return buf, nil
	}
	att.src = &source{src: call.Body(), length: length}
	if length < 0 || length > maxReplayed {
		return buf, nil
	}
	from := len(buf)
	buf = append(buf, make([]byte, length)...)
	if _, err := io.ReadFull(att.src, buf[from:]); err != nil {
		return nil, att.failure(err)
	}
	att.src = nil
	return buf, nil
}

// write sends the request. A long body is sent by a goroutine of its own, because the upstream may answer before it
// has read it.
func (att *attempt) write(start []byte) error {
	att.wrote = true // a write that fails part way may have reached the upstream
	got, err := att.con.Write(start)
	if err != nil {
		att.wrote = got > 0
		return err
	}
	if att.src != nil {
		att.sending = make(chan struct{})
		go send(att.con, att.src, att.sending)
	}
	return nil
}

func send(con *conn, src *source, done chan<- struct{}) {
	defer close(done)
	var err error
	if src.length < 0 {
		if _, err = io.Copy(chunks{con.Conn}, src); err == nil {
			_, err = io.WriteString(con.Conn, "0\r\n\r\n")
		}
	} else {
		_, err = io.CopyN(con.Conn, src, src.length)
	}
	if err != nil && src.failed() != nil {
		_ = con.SetDeadline(past) // the answer to half a request is of no use
	}
}

// read returns the answer to the call. Answers to other calls, which an upstream may send late or twice, are passed
// over: the identifier that it echoes tells them apart.
func (att *attempt) read() (*core.Answer, error) {
	req := &http.Request{Method: att.call.Method()}
	for skipped := 0; ; skipped++ {
		rsp, err := att.con.answer(req) //nolint:bodyclose // the connection is kept or closed as a whole
		if err != nil {
			return nil, att.failure(err)
		}
		att.cli.crash.answered()
		ref := att.cli.dialect.ClassifyAnswer(att.call, rsp.StatusCode, rsp.Header)
		if ref == nil {
			return att.answer(rsp), nil
		}
		if ref.Reason() != core.ReasonMismatchedAnswer || skipped == maxForeign || !delimited(rsp) {
			return nil, att.refused(rsp, ref)
		}
		if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
			return nil, att.failure(err)
		}
	}
}

// delimited says whether another answer can follow on the connection.
func delimited(rsp *http.Response) bool {
	return !rsp.Close && (rsp.ContentLength >= 0 || len(rsp.TransferEncoding) > 0)
}

func (att *attempt) answer(rsp *http.Response) *core.Answer {
	hdr := wire.EndToEnd(rsp.Header)
	att.cli.dialect.SetAnswerHeaders(hdr)
	bod := &answerBody{att: att, rsp: rsp}
	fee := core.NewFeedback(att.call.RetryBudget(), 1, 0, false)
	return core.NewAnswer(rsp.StatusCode, hdr, bod, func() core.Feedback { return fee })
}

// refused returns the refusal that an answer stands for. The connection is kept when the answer belongs to the call and
// its rest is short.
func (att *attempt) refused(rsp *http.Response, ref *core.Refusal) error {
	knd := ResultFailed
	if ref.Outcome() == core.OutcomeNotRun {
		knd = ResultShed
		if got, err := io.Copy(io.Discard, io.LimitReader(rsp.Body, maxDrainedBytes)); err == nil && got < maxDrainedBytes {
			att.release(rsp)
		}
	}
	return &Error{Refusal: ref, kind: knd}
}

// release gives the connection back after a whole answer.
func (att *attempt) release(rsp *http.Response) {
	con := att.con
	if con == nil {
		return
	}
	sent := att.sending == nil
	if !sent {
		select {
		case <-att.sending:
			sent = att.src.whole()
		default: // the rest of the body must not become the start of another request
		}
	}
	if !att.unhook() || rsp.Close || !sent || !delimited(rsp) {
		return
	}
	att.con = nil
	con.put(rsp.Header.Get("Keep-Alive"))
}

// finish ends the exchange; a connection that was not released is closed.
func (att *attempt) finish() {
	att.once.Do(func() {
		if att.con != nil {
			att.unhook()
			att.con.drop()
			att.con = nil
		}
		if att.counted {
			att.cli.flight.Add(-1)
		}
		att.cancel()
	})
}

// source is a request body that keeps the error of its reader.
type source struct {
	src    io.Reader
	length int64 // -1 when it is unknown
	mut    sync.Mutex
	total  int64
	err    error
}

// Read reads the body.
func (sou *source) Read(data []byte) (int, error) {
	got, err := sou.src.Read(data)
	sou.mut.Lock()
	defer sou.mut.Unlock()
	sou.total += int64(got)
	if err != nil {
		sou.err = err
	}
	return got, err
}

// failed returns why the body could not be read, or nil.
func (sou *source) failed() error {
	sou.mut.Lock()
	defer sou.mut.Unlock()
	if errors.Is(sou.err, io.EOF) && (sou.length < 0 || sou.total >= sou.length) {
		return nil
	}
	return sou.err
}

// whole says whether all of the body has been read.
func (sou *source) whole() bool {
	sou.mut.Lock()
	defer sou.mut.Unlock()
	if sou.length < 0 {
		return errors.Is(sou.err, io.EOF)
	}
	return sou.total >= sou.length
}

// answerBody reads the rest of an answer; a cut one ends with a refusal of reason truncated.
type answerBody struct {
	att   *attempt
	rsp   *http.Response
	total int
	err   error
}

// Read returns data, io.EOF for a whole answer, or a refusal.
func (abo *answerBody) Read(data []byte) (int, error) {
	if abo.err != nil {
		return 0, abo.err
	}
	got, err := abo.rsp.Body.Read(data)
	if abo.total += got; abo.total > wire.MaxAnswerBody {
		err = newError(ResultFailed, core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB", nil)
		got = 0
	}
	switch {
	case err == nil:
		return got, nil
	case errors.Is(err, io.EOF):
		abo.att.release(abo.rsp)
		abo.err = io.EOF
	case abo.total > wire.MaxAnswerBody:
		abo.err = err
	default:
		abo.err = abo.att.cut(err)
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

func usuallyEmpty(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return true
	}
	return false
}
