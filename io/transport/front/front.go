package front

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/bounds"
	"amaranthline/core/state/memory"
	"amaranthline/io/protocol/wire"
	"amaranthline/io/transport/inlet"

	"github.com/justinas/alice"
)

// HTTP headers between callers, upstreams and nodes.
const (
	HeaderCall           = "Amaranthline-Call"
	HeaderOutcome        = "Amaranthline-Outcome"
	HeaderReason         = "Amaranthline-Reason"
	HeaderTimeout        = "Request-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	reservedPrefix       = "Amaranthline-"
)

const (
	// maxParsedHeadBytes is the longest head that net/http parses; it is above the limits of headers in use, so that checkHeader
	// refuses an oversize header block, with a reason and a metric, before net/http does.
	maxParsedHeadBytes     = 128 << 10
	readAheadBytes         = 64 << 10        // of a connection's further requests that are read while one is served
	maxBodyPause           = 5 * time.Second // longest wait for more of a request body before the sender is refused as slow
	minBodyProgress        = 1 << 10         // bytes that count as more of a body while connections are short; else 1
	lastBodyLook           = 20 * time.Millisecond
	maxUnreadBytes         = 256 << 10        // of the body of a refused request that are still read, as in net/http
	maxReadPause           = 10 * time.Second // longest wait for a caller to read on, unless memory is short
	bufferedBytes          = 64 << 10         // of each body that package body keeps in memory
	copyBytes              = 32 << 10         // buffer of io.Copy
	peerAheadBytes         = 128 << 10        // of a long answer that another host sends before they are asked for
	memoryRetryAfter       = time.Second
	maxIdempotencyKeyBytes = 255
	maxTimeoutMillis       = 10 * 60 * 1000
)

// Settings are the parameters of a Frontend.
type Settings struct {
	Handler  core.EntryHandler
	Observer core.Observer
	Nested   bool // serves nested calls of this host's upstream instead of requests of callers
	// Dialect translates the headers of requests, answers and refusals; nil means amaranthline's own headers.
	Dialect core.CallerDialect
	// EventLog may be nil.
	EventLog core.EventLog
	// Limits bounds what callers make the node hold, also for several frontends together; nil means those of a node without
	// settings of its machine.
	Limits *inlet.Limits
	// Bounds are the limits for callers, which may change while the frontend serves; nil means the default limits.
	Bounds *bounds.Bounds
}

// Frontend is the HTTP handler for one port.
type Frontend struct {
	handler  core.EntryHandler
	observer core.Observer
	nested   bool
	dialect  core.CallerDialect
	eventLog core.EventLog
	beginner *beginner
	limits   *inlet.Limits
	bounds   *bounds.Bounds
	draining atomic.Bool
}

// New returns a frontend.
func New(set Settings) *Frontend {
	fro := &Frontend{handler: set.Handler, observer: set.Observer, nested: set.Nested, dialect: set.Dialect, eventLog: set.EventLog, limits: set.Limits, bounds: set.Bounds}
	if fro.limits == nil {
		fro.limits = inlet.NewLimits(memory.Divide(0, 0, 0), nil)
	}
	if fro.bounds == nil {
		fro.bounds = bounds.New()
	}
	fro.beginner = newBeginner(fro, set)
	if fro.dialect == nil {
		fro.dialect = defaultDialect{nested: set.Nested}
	}
	return fro
}

// Handler returns the HTTP handler with its middleware.
func (fro *Frontend) Handler() http.Handler {
	return alice.New(fro.closeWhenDraining).ThenFunc(fro.serve)
}

// Listen frames the requests of a listener's connections for the server of the frontend, and bounds what they hold.
func (fro *Frontend) Listen(lis net.Listener) net.Listener {
	return inlet.Listen(lis, inlet.Settings{
		Bounds: fro.bounds, ReadAheadBytes: readAheadBytes, WritePause: maxReadPause, Limits: fro.limits, Refuse: fro.refusalAnswer,
		Ahead: fro.beginner,
	})
}

// refusalAnswer counts a refusal of a request that net/http has not seen, and returns the whole answer.
func (fro *Frontend) refusalAnswer(ref *core.Refusal) []byte {
	fro.observer.Refused(ref.Reason(), "", "")
	hdr := http.Header{"Content-Type": {"text/plain; charset=utf-8"}, "X-Content-Type-Options": {"nosniff"}}
	fro.dialect.SetRefusalHeaders(hdr, ref)
	body := ref.Error() + "\n"
	rsp := &http.Response{
		StatusCode: ref.Status(), ProtoMajor: 1, ProtoMinor: 1, Header: hdr, Close: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	var buf bytes.Buffer
	_ = rsp.Write(&buf) // a buffer takes all
	return buf.Bytes()
}

// Server returns an HTTP server for the frontend, with its time and size limits. It serves connections of any listener;
// those of Listen are served as its package says.
func (fro *Frontend) Server() *http.Server {
	return &http.Server{
		Handler: fro.Handler(),
		// The connections of Listen have the limits in force instead; these are for others, and for heads that are not framed.
		ReadHeaderTimeout: bounds.DefaultHeaderTimeout,
		IdleTimeout:       bounds.DefaultIdleTimeout,
		MaxHeaderBytes:    maxParsedHeadBytes,
		ConnState:         inlet.SetState,
		ConnContext:       inlet.ConnContext,
	}
}

// Drain makes every further answer close its connection, so that callers connect to other hosts. Requests that were begun
// ahead of their turn are answered before; none is begun after it.
func (fro *Frontend) Drain() { fro.draining.Store(true) }

func (fro *Frontend) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		con := inlet.FromContext(req.Context())
		if fro.draining.Load() && (con == nil || con.MayClose()) {
			wri.Header().Set("Connection", "close")
		}
		next.ServeHTTP(wri, req)
	})
}

// checkHeader refuses a request whose target and headers are longer together than the limit in force. One that was begun ahead
// of its turn was checked then, and may have run under a limit that was lowered since.
func (fro *Frontend) checkHeader(hrq *http.Request) *core.Refusal {
	size, limit := headerBytes(hrq), fro.bounds.At(time.Now()).HeaderBytes
	if size <= limit {
		return nil
	}
	return notRunRefusal(core.ReasonHeaderTooLarge, "the request target and the headers have %d bytes, of %d allowed", size, limit)
}

// headerBytes returns the size of the request target and the headers.
func headerBytes(req *http.Request) int {
	size := len(req.RequestURI)
	for name, values := range req.Header {
		for _, val := range values {
			size += len(name) + len(val) + len(": \r\n")
		}
	}
	return size
}

func (fro *Frontend) serve(wri http.ResponseWriter, hrq *http.Request) {
	var waited time.Duration
	con := inlet.FromContext(hrq.Context())
	if con != nil {
		var beg inlet.Begun
		if beg, waited = con.Serving(hrq); beg != nil && fro.serveBegun(wri, hrq, con, beg.(*begun)) {
			return
		}
	}
	req, ref := fro.parseRequest(wri, hrq, waited)
	if ref != nil {
		fro.refuse(wri, hrq, ref)
		return
	}
	bod, hasBody := req.Body().(*limitedBody)
	if hasBody {
		defer func() {
			if interrupted := bod.detach(); interrupted {
				delayClose(wri)
			}
		}()
	}
	ans, err := fro.handle(hrq.Context(), req)
	if err != nil {
		ref := core.AsRefusal(err)
		fro.beginner.noteRefusal(req, ref)
		fro.writeRefusal(wri, hrq, ref)
		return
	}
	if hasBody && !bod.ended.Load() {
		allowEarlyAnswer(wri)
	}
	if ref := chargeAnswer(hrq, ans); ref != nil {
		fro.refuse(wri, hrq, ref)
		return
	}
	if con != nil && con.Answering() {
		spo := newSpool(ans.Body(), ans.Header(), fro.beginner.answerBudget())
		spo.fill()
		ans = ans.WithBody(spo)
	}
	fro.writeAnswer(wri, hrq, ans, req.AttemptID())
}

// serveBegun answers a request in its turn that was begun ahead of it. It reports false if the request has to be served from
// its beginning.
func (fro *Frontend) serveBegun(wri http.ResponseWriter, hrq *http.Request, con *inlet.Conn, beg *begun) bool {
	defer beg.end()
	ans, err := beg.answer(hrq.Context())
	switch {
	case err != nil:
		fro.writeRefusal(wri, hrq, core.AsRefusal(err))
	case ans != nil:
		defer context.AfterFunc(hrq.Context(), beg.cancel)() // the caller may leave while the answer is written
		if con.Answering() {
			beg.body.waitFilled()
		}
		fro.writeAnswer(wri, hrq, ans, beg.attemptID)
	default:
		return false
	}
	return true
}

// handle serves a request of this port. An answer whose status is none of HTTP is not passed on.
func (fro *Frontend) handle(ctx context.Context, req *core.Request) (*core.Answer, error) {
	serve := fro.handler.ServeRoot
	if fro.nested {
		serve = fro.handler.ServeNested
	}
	ans, err := serve(ctx, req)
	if err != nil || core.ValidStatus(ans.Status()) {
		return ans, err
	}
	_ = ans.Body().Close()
	ref := core.InvalidStatusRefusal(ans.Status())
	fro.observer.Refused(ref.Reason(), "", "")
	return nil, ref
}

// allowEarlyAnswer prepares an answer that is written while the request body is still being sent on. By default net/http
// reads and discards the rest of the body itself before it writes the head of an answer, and the upstream would get a body
// with a gap. The connection carries no further request, because nothing ensures that the body is read to its end.
func allowEarlyAnswer(wri http.ResponseWriter) {
	_ = http.NewResponseController(wri).EnableFullDuplex() // fails only for a writer that is not net/http's
	wri.Header().Set("Connection", "close")
}

// refuse counts and answers a request that is refused before it reaches the handler.
func (fro *Frontend) refuse(wri http.ResponseWriter, hrq *http.Request, ref *core.Refusal) {
	fro.observer.Refused(ref.Reason(), "", "")
	fro.writeRefusal(wri, hrq, ref)
}

// parseRequest turns an HTTP request into a core.Request, or refuses it.
func (fro *Frontend) parseRequest(wri http.ResponseWriter, hrq *http.Request, waited time.Duration) (*core.Request, *core.Refusal) {
	if ref := fro.checkHeader(hrq); ref != nil {
		return nil, ref
	}
	spec, ref := fro.dialect.ParseRequest(hrq)
	if ref != nil {
		return nil, ref
	}
	spec.Method, spec.Length, spec.Waited = hrq.Method, hrq.ContentLength, waited
	limit := min(int64(fro.bounds.At(time.Now()).BodyBytes), wire.MaxRequestBody)
	if hrq.ContentLength > limit {
		return nil, notRunRefusal(core.ReasonBodyTooLarge, "the request body has %d bytes, of %d allowed", hrq.ContentLength, limit)
	}
	if hrq.ContentLength != 0 {
		if !chargeBody(hrq) {
			return nil, notRunRefusal(core.ReasonCallerMemory, "the body would cost more memory than is left for requests").WithRetryAfter(memoryRetryAfter)
		}
		spec.Body = newLimitedBody(wri, hrq, limit)
	}
	return core.NewRequest(spec), nil
}

// chargeBody takes the bytes that the start of a request body occupies from the budget of the node's callers, until the request
// has been served.
func chargeBody(hrq *http.Request) bool {
	size := hrq.ContentLength
	if size < 0 {
		size = bufferedBytes
	}
	con := inlet.FromContext(hrq.Context())
	return con == nil || con.Charge(memory.Charged(int(min(size, bufferedBytes))))
}

// answerBytes returns the bytes that an answer occupies while the caller reads it.
func answerBytes(ans *core.Answer) int {
	if ans.HasRest() {
		return bufferedBytes + copyBytes + peerAheadBytes
	}
	if size := ans.BufferedBytes(); size > 0 {
		return size
	}
	size, err := strconv.Atoi(ans.Header().Get("Content-Length"))
	if err != nil || size > bufferedBytes {
		return bufferedBytes + copyBytes
	}
	return size
}

// chargeAnswer takes the bytes that an answer occupies while the caller reads it. If they are not left, the caller of a short
// answer gets less time to read; a long one is given up, and chargeAnswer returns the refusal in its place.
func chargeAnswer(hrq *http.Request, ans *core.Answer) *core.Refusal {
	con := inlet.FromContext(hrq.Context())
	if con == nil || con.ChargeAnswer(memory.Charged(answerBytes(ans))) {
		return nil
	}
	if ans.HasRest() {
		_ = ans.Body().Close()
		return longAnswerRefusal()
	}
	con.HurryReader()
	return nil
}

// longAnswerRefusal returns the refusal in place of an answer for which no memory is left. Its request has run.
func longAnswerRefusal() *core.Refusal {
	return core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer would hold more memory than is left while it is read")
}

// limitedBody limits the size of a request body and the time that each read waits for the sender. A goroutine that sends the
// body on may read it while the answer is written, but not after the request has been served.
type limitedBody struct {
	reader     io.Reader
	limit      int64
	controller *http.ResponseController
	reading    sync.Mutex
	conn       *inlet.Conn   // nil in tests
	progress   int           // bytes since pauseLeft was last maxBodyPause; guarded by reading
	pauseLeft  time.Duration // of maxBodyPause, without the time between reads; guarded by reading
	ended      atomic.Bool   // the body was read to its end
	detached   atomic.Bool   // the request has been served
}

func newLimitedBody(wri http.ResponseWriter, hrq *http.Request, limit int64) *limitedBody {
	return &limitedBody{
		reader: http.MaxBytesReader(wri, hrq.Body, limit), limit: limit, controller: http.NewResponseController(wri),
		conn: inlet.FromContext(hrq.Context()), pauseLeft: maxBodyPause,
	}
}

// Read returns a refusal as error when the body is too large or its sender too slow.
func (lbo *limitedBody) Read(buf []byte) (int, error) {
	lbo.reading.Lock()
	defer lbo.reading.Unlock()
	start := time.Now()
	if err := lbo.controller.SetReadDeadline(start.Add(max(lbo.pauseLeft, lastBodyLook))); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, fmt.Errorf("set the read deadline of the body: %w", err)
	}
	if lbo.detached.Load() { // checked after the deadline is set, which may undo that of detach
		return 0, http.ErrBodyReadAfterClose
	}
	got, err := lbo.reader.Read(buf)
	lbo.pauseLeft -= time.Since(start)
	// Without connections to spare, a body of a byte now and then would keep its own as long as its request may last.
	wanted := 1
	if lbo.conn != nil && lbo.conn.Crowded() {
		wanted = minBodyProgress
	}
	if lbo.progress += got; lbo.progress >= wanted {
		lbo.progress, lbo.pauseLeft = 0, maxBodyPause
	}
	if err == nil {
		return got, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The expired deadline stays set, or net/http would wait for the rest of the body before it sends the refusal.
		return got, core.NewRefusal(core.ReasonSlowSender, core.OutcomeUnknown, "the sender stalled while it sent the request body").WithCause(err)
	}
	_ = lbo.controller.SetReadDeadline(time.Time{})
	lbo.ended.Store(errors.Is(err, io.EOF))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		detail := fmt.Sprintf("the request body is longer than the %d bytes allowed", lbo.limit)
		return got, core.NewRefusal(core.ReasonBodyTooLarge, core.OutcomeUnknown, detail).WithCause(err)
	}
	return got, err
}

// detach ends a read in progress and makes later ones fail, because the connection is then read by net/http: it discards a
// part of an unread body, for which the sender has maxBodyPause. It reports whether a read was in progress.
func (lbo *limitedBody) detach() (interrupted bool) {
	lbo.detached.Store(true)
	if !lbo.reading.TryLock() {
		interrupted = true
		_ = lbo.controller.SetReadDeadline(time.Unix(1, 0))
		lbo.reading.Lock()
		_ = lbo.controller.SetReadDeadline(time.Now().Add(maxBodyPause))
	}
	lbo.reading.Unlock()
	return interrupted
}

// delayClose makes net/http close the connection after the request, and wait before it does. A chunked body cannot be read on
// after an interrupted read, and net/http would close the connection at once: the reset that the unread bytes cause could
// overtake the end of the answer. There is no other way to ask for the delay than a body that is too long.
func delayClose(wri http.ResponseWriter) {
	_, _ = http.MaxBytesReader(wri, io.NopCloser(strings.NewReader("longer than the limit")), 0).Read(make([]byte, 1))
}

func (fro *Frontend) writeRefusal(wri http.ResponseWriter, hrq *http.Request, ref *core.Refusal) {
	if hrq.ContentLength != 0 && ref.Reason() != core.ReasonSlowSender {
		// net/http reads part of an unread body before it sends the answer, and the sender may stall in that part.
		_ = http.NewResponseController(wri).SetReadDeadline(time.Now().Add(maxBodyPause))
		if hrq.Close && hrq.Header.Get("Expect") == "" {
			// net/http leaves the body unread when it closes the connection. That would reset the connection, and a sender that
			// is still busy with the body would lose the refusal. Beyond the limit, net/http delays the reset.
			_, _ = io.Copy(io.Discard, http.MaxBytesReader(wri, hrq.Body, maxUnreadBytes))
		}
	}
	hdr := wri.Header()
	hdr.Set("Content-Type", "text/plain; charset=utf-8")
	hdr.Set("X-Content-Type-Options", "nosniff")
	fro.dialect.SetRefusalHeaders(hdr, ref)
	wri.WriteHeader(ref.Status())
	_, _ = io.WriteString(wri, ref.Error()+"\n")
}

// writeAnswer streams an answer. When reading its body fails after the head was sent, writeAnswer aborts the
// connection, so that the caller cannot take the incomplete answer for a complete one. When it is known before that the body
// is broken off, the answer is a refusal, and the connection stays for the requests behind it.
func (fro *Frontend) writeAnswer(wri http.ResponseWriter, hrq *http.Request, ans *core.Answer, attemptID string) {
	defer ans.Body().Close()
	if spo, ok := ans.Body().(*spool); ok {
		if err := spo.failed(); err != nil {
			fro.refuse(wri, hrq, core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer broke off before it was passed on").WithCause(err))
			return
		}
	}
	hdr := wri.Header()
	for name, values := range ans.Header() {
		hdr[name] = values
	}
	if _, ok := hdr["Content-Type"]; !ok {
		hdr["Content-Type"] = nil // a nil value keeps net/http from guessing a type
	}
	fro.dialect.SetAnswerHeaders(hdr, attemptID)
	wri.WriteHeader(ans.Status())
	if _, err := io.Copy(wri, ans.Body()); err != nil {
		if con := inlet.FromContext(hrq.Context()); con != nil && !hrq.ProtoAtLeast(1, 1) {
			con.ResetOnClose() // an answer over HTTP/1.0 has no chunks, so an ordinary end of the connection may complete it
		}
		panic(http.ErrAbortHandler)
	}
}
