package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"amaranthline/core"

	"github.com/justinas/alice"
)

// Headers between callers, upstreams and nodes.
const (
	HeaderCall        = "Amaranthline-Call"
	HeaderOutcome     = "Amaranthline-Outcome"
	HeaderReason      = "Amaranthline-Reason"
	HeaderTimeout     = "Request-Timeout"
	HeaderIdempotency = "Idempotency-Key"
	headerPrefix      = "Amaranthline-"
)

const (
	maxHeaderBytes  = 32 << 10
	maxBodyBytes    = 8 << 20
	senderPause     = 5 * time.Second // a body that stalls longer is refused as a slow sender
	headerTimeout   = 5 * time.Second
	idleTimeout     = 60 * time.Second
	maxIdempotency  = 255 // bytes of an idempotency key
	maxTimeoutMilli = 10 * 60 * 1000
)

// Settings configures a Frontend.
type Settings struct {
	Handler  core.EntryHandler
	Observer core.Observer
	Nested   bool // serves the own upstream instead of callers
	// Dialect reads requests and writes refusals; nil means amaranthline's own headers.
	Dialect core.CallerDialect
}

// Frontend is the HTTP handler for one port.
type Frontend struct {
	entry    core.EntryHandler
	obs      core.Observer
	nested   bool
	dialect  core.CallerDialect
	draining atomic.Bool
}

// New returns a front.
func New(set Settings) *Frontend {
	fro := &Frontend{entry: set.Handler, obs: set.Observer, nested: set.Nested, dialect: set.Dialect}
	if fro.dialect == nil {
		fro.dialect = own{nested: set.Nested}
	}
	return fro
}

// Handler returns the handler with its middleware.
func (fro *Frontend) Handler() http.Handler {
	return alice.New(fro.closeWhenDraining, fro.limitHeader).ThenFunc(fro.serve)
}

// Server returns an HTTP server with the time limits of the front.
func (fro *Frontend) Server() *http.Server {
	return &http.Server{
		Handler:           fro.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		// Above maxHeaderBytes, so that an oversize block gets a typed refusal and a metric first.
		MaxHeaderBytes: 4 * maxHeaderBytes,
	}
}

// Drain makes every further answer close its connection, so that callers move to other hosts.
func (fro *Frontend) Drain() { fro.draining.Store(true) }

func (fro *Frontend) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if fro.draining.Load() {
			wri.Header().Set("Connection", "close")
		}
		next.ServeHTTP(wri, req)
	})
}

func (fro *Frontend) limitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		size := len(req.RequestURI)
		for name, values := range req.Header {
			for _, val := range values {
				size += len(name) + len(val) + len(": \r\n")
			}
		}
		if size > maxHeaderBytes {
			detail := fmt.Sprintf("the header block has %d bytes", size)
			fro.refuse(wri, req, core.NewRefusal(core.ReasonHeaderTooLarge, core.OutcomeNotRun, detail))
			return
		}
		next.ServeHTTP(wri, req)
	})
}

func (fro *Frontend) serve(wri http.ResponseWriter, hrq *http.Request) {
	req, ref := fro.read(wri, hrq)
	if ref != nil {
		fro.refuse(wri, hrq, ref)
		return
	}
	serve := fro.entry.ServeRoot
	if fro.nested {
		serve = fro.entry.ServeNested
	}
	ans, err := serve(hrq.Context(), req)
	if err != nil {
		fro.writeRefusal(wri, hrq, core.AsRefusal(err))
		return
	}
	fro.writeAnswer(wri, ans)
}

// refuse answers a request that never reached the request path, and counts it.
func (fro *Frontend) refuse(wri http.ResponseWriter, hrq *http.Request, ref *core.Refusal) {
	fro.obs.Refused(ref.Reason(), "", "")
	fro.writeRefusal(wri, hrq, ref)
}

// read checks an HTTP request.
func (fro *Frontend) read(wri http.ResponseWriter, hrq *http.Request) (*core.Request, *core.Refusal) {
	spec, ref := fro.dialect.ParseRequest(hrq)
	if ref != nil {
		return nil, ref
	}
	spec.Method, spec.Length = hrq.Method, hrq.ContentLength
	if hrq.ContentLength > maxBodyBytes {
		return nil, refusal(core.ReasonBodyTooLarge, "the body has %d bytes", hrq.ContentLength)
	}
	if hrq.ContentLength != 0 {
		spec.Body = newBody(wri, hrq)
	}
	return core.NewRequest(spec), nil
}

// body bounds a request body in size and in the pause between two reads.
type body struct {
	io.Reader
	ctl *http.ResponseController
}

func newBody(wri http.ResponseWriter, hrq *http.Request) *body {
	return &body{Reader: http.MaxBytesReader(wri, hrq.Body, maxBodyBytes), ctl: http.NewResponseController(wri)}
}

// Read returns typed errors for bodies that are too large or too slow.
func (bod *body) Read(buf []byte) (int, error) {
	if err := bod.ctl.SetReadDeadline(time.Now().Add(senderPause)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, fmt.Errorf("set the read deadline of the body: %w", err)
	}
	got, err := bod.Reader.Read(buf)
	if err == nil {
		return got, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The deadline stays, or the server would wait for the rest of the body before it sends the refusal.
		return got, core.NewRefusal(core.ReasonSlowSender, core.OutcomeUnknown, "the body stalled").WithCause(err)
	}
	_ = bod.ctl.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return got, core.NewRefusal(core.ReasonBodyTooLarge, core.OutcomeUnknown, "the body passed the bound while it was sent").WithCause(err)
	}
	return got, err
}

func (fro *Frontend) writeRefusal(wri http.ResponseWriter, hrq *http.Request, ref *core.Refusal) {
	if hrq.ContentLength != 0 && ref.Reason() != core.ReasonSlowSender {
		// The server reads a part of an unread body before it answers, and a sender may stall in it.
		_ = http.NewResponseController(wri).SetReadDeadline(time.Now().Add(senderPause))
	}
	head := wri.Header()
	head.Set("Content-Type", "text/plain; charset=utf-8")
	head.Set("X-Content-Type-Options", "nosniff")
	fro.dialect.SetRefusalHeaders(head, ref)
	wri.WriteHeader(ref.Status())
	_, _ = io.WriteString(wri, ref.Error()+"\n")
}

// writeAnswer streams an answer. A body that fails after its start cuts the connection, so that
// the caller never takes a part for the whole.
func (fro *Frontend) writeAnswer(wri http.ResponseWriter, ans *core.Answer) {
	defer ans.Body().Close()
	head := wri.Header()
	for name, values := range ans.Header() {
		head[name] = values
	}
	if _, ok := head["Content-Type"]; !ok {
		head["Content-Type"] = nil // keeps net/http from guessing one
	}
	fro.dialect.SetAnswerHeaders(head)
	wri.WriteHeader(ans.Status())
	if _, err := io.Copy(wri, ans.Body()); err != nil {
		panic(http.ErrAbortHandler)
	}
}
