package origin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers between a node and its upstream.
const (
	callHeader           = "Amaranthline-Call"
	notRunHeader         = "Amaranthline-Not-Run"
	timeoutHeader        = "Request-Timeout"
	idempotencyKeyHeader = "Idempotency-Key"
	reservedPrefix       = "Amaranthline-"
)

const (
	maxBodyBytes    = 16 << 20
	crashExitStatus = 3
)

// NestedCall is a call that the upstream sends for each request it serves.
type NestedCall struct {
	Call    string `json:"call"`    // "METHOD /service/path"
	Retries int    `json:"retries"` // attempts after the first at most, sent without a pause
}

// Settings are the capacity and the faults of an upstream. Zero values mean no bound, no work and no fault.
type Settings struct {
	Slots            int           // requests that are processed at the same time; 1 when zero
	Connections      int           // bound on the open connections, for LimitListener
	ServiceTime      time.Duration // processing time of a request in its slot, or the mean if Exponential is set
	Exponential      bool          // draws the service time from an exponential distribution
	Seed             uint64        // of the exponential distribution
	Padding          int           // bytes added to each answer
	NestedCalls      []NestedCall
	NestedURL        string        // URL of the node's nested port
	InitialWarmSlots int           // slots that work at full speed at the start of the warm-up, at least 1
	WarmupTime       time.Duration // time in which the number of warm slots grows linearly to Slots
	SlowFactor       float64       // multiplies the service time; 1 when zero
	CrashMarker      string        // a request whose path or body contains it crashes the upstream
	HealthLag        time.Duration // age of the state that GET /health and GET /load answer
	OnCrash          func()        // called by a crash; nil ends the process
}

// Server is a stand-in for an upstream.
type Server struct {
	slots          chan struct{}
	maxConnections int
	onCrash        func()
	config         atomic.Pointer[config]
	client         *http.Client
	stats          *stats

	mut sync.Mutex // guards rnd and changes of config
	rnd *rand.Rand
}

// config holds the settings that control requests change. It is immutable; a change replaces it.
type config struct {
	serviceTime      time.Duration
	exponential      bool
	padding          int
	slowFactor       float64
	shedding         bool
	draining         bool
	initialWarmSlots int
	warmupTime       time.Duration
	warmupStart      time.Time
	nestedURL        string
	nestedCalls      []NestedCall
	healthLag        time.Duration
	fixedHealth      string
	crashMarker      string
}

// New returns a server. Its warm-up, if the settings have one, begins now.
func New(set Settings) *Server {
	slots := max(set.Slots, 1)
	srv := &Server{
		slots: make(chan struct{}, slots), maxConnections: set.Connections, onCrash: set.OnCrash,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
		stats:  newStats(), rnd: rand.New(rand.NewPCG(set.Seed, set.Seed)),
	}
	if srv.onCrash == nil {
		srv.onCrash = func() { os.Exit(crashExitStatus) }
	}
	if set.SlowFactor == 0 {
		set.SlowFactor = 1
	}
	srv.config.Store(&config{
		serviceTime: set.ServiceTime, exponential: set.Exponential, padding: set.Padding, slowFactor: set.SlowFactor,
		initialWarmSlots: set.InitialWarmSlots, warmupTime: set.WarmupTime, warmupStart: time.Now(),
		nestedURL: set.NestedURL, nestedCalls: set.NestedCalls, healthLag: set.HealthLag, crashMarker: set.CrashMarker,
	})
	return srv
}

// Handler returns the handler of the service port.
func (srv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", srv.serveHealth)
	mux.HandleFunc("GET /load", srv.serveLoad)
	mux.HandleFunc("/", srv.serve)
	return mux
}

// Close closes the idle connections to the node's nested port.
func (srv *Server) Close() { srv.client.CloseIdleConnections() }

func (srv *Server) serve(rsw http.ResponseWriter, req *http.Request) {
	srv.stats.countHeaders(req.Header)
	cfg := srv.config.Load()
	if cfg.shedding || cfg.draining {
		srv.stats.countRefusal()
		rsw.Header().Set(notRunHeader, "true")
		http.Error(rsw, "the upstream sheds or drains and did not run the request; send it to another upstream", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(rsw, req.Body, maxBodyBytes))
	if err != nil {
		http.Error(rsw, "the request body cannot be read; send at most 16 MiB", http.StatusBadRequest)
		return
	}
	ctx, cancel := withRequestTimeout(req.Context(), req.Header.Get(timeoutHeader))
	defer cancel()
	srv.stats.addInFlight(cap(srv.slots))
	defer srv.stats.removeInFlight(cap(srv.slots))
	if !srv.acquire(ctx) {
		srv.abandon(ctx, rsw)
		return
	}
	defer func() { <-srv.slots }()
	srv.stats.countRun(req)
	if cfg.crashMarker != "" && (strings.Contains(req.URL.Path, cfg.crashMarker) || bytes.Contains(body, []byte(cfg.crashMarker))) {
		srv.onCrash()
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if !srv.work(ctx, cfg) {
		srv.abandon(ctx, rsw)
		return
	}
	ans := &answerBody{Method: req.Method, Path: req.URL.RequestURI(), Body: string(body), Padding: strings.Repeat("p", cfg.padding)}
	ans.Nested = srv.callNested(ctx, cfg, req.Header.Get(callHeader))
	if ctx.Err() != nil {
		srv.abandon(ctx, rsw)
		return
	}
	ans.write(rsw)
}

// answerBody is the body of the answer to a request that has run.
type answerBody struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Nested  []int  `json:"nested"`
	Padding string `json:"padding"`
}

func (ans *answerBody) write(rsw http.ResponseWriter) {
	status := http.StatusOK
	for _, nested := range ans.Nested {
		if isFailure(nested) {
			status = http.StatusBadGateway
		}
	}
	data, err := json.Marshal(ans)
	if err != nil {
		status = http.StatusInternalServerError
	}
	rsw.Header().Set("Content-Type", "application/json")
	rsw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rsw.WriteHeader(status)
	_, _ = rsw.Write(data)
}

// withRequestTimeout returns a context with the timeout of the Request-Timeout header, which is in milliseconds, if it has
// a valid one.
func withRequestTimeout(ctx context.Context, header string) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseInt(header, 10, 64)
	if err != nil || millis <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(millis)*time.Millisecond)
}

func (srv *Server) abandon(ctx context.Context, rsw http.ResponseWriter) {
	srv.stats.countCancellation()
	if ctx.Err() == context.DeadlineExceeded {
		http.Error(rsw, "the time in the header Request-Timeout has passed; allow more", http.StatusGatewayTimeout)
	}
}

// acquire waits for a slot, in order of arrival, and reports whether it got one before the context ended.
func (srv *Server) acquire(ctx context.Context) bool {
	select {
	case srv.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (srv *Server) work(ctx context.Context, cfg *config) bool {
	workTime := time.Duration(float64(srv.drawServiceTime(cfg)) * cfg.slowFactor * cfg.slowdown(len(srv.slots), cap(srv.slots)))
	timer := time.NewTimer(workTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (srv *Server) drawServiceTime(cfg *config) time.Duration {
	if !cfg.exponential {
		return cfg.serviceTime
	}
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return time.Duration(srv.rnd.ExpFloat64() * float64(cfg.serviceTime))
}

// slowdown returns the factor that multiplies the service time while more slots are busy than are warm. It grows with the
// square of busy/warm, so that a cold upstream under full load does less work than one under little load.
func (cfg *config) slowdown(busy, slots int) float64 {
	warm := cfg.warmSlots(slots)
	if float64(busy) <= warm {
		return 1
	}
	return (float64(busy) / warm) * (float64(busy) / warm)
}

// warmSlots returns the number of slots that can work at full speed now.
func (cfg *config) warmSlots(slots int) float64 {
	age := time.Since(cfg.warmupStart)
	if age >= cfg.warmupTime {
		return float64(slots)
	}
	initial := float64(max(cfg.initialWarmSlots, 1))
	return initial + (float64(slots)-initial)*float64(age)/float64(cfg.warmupTime)
}

// callNested sends the nested calls in order until one fails, and returns their statuses.
func (srv *Server) callNested(ctx context.Context, cfg *config, callToken string) []int {
	statuses := []int{}
	for _, nes := range cfg.nestedCalls {
		status := srv.callWithRetries(ctx, cfg.nestedURL, nes, callToken)
		statuses = append(statuses, status)
		if isFailure(status) {
			break
		}
	}
	return statuses
}

func (srv *Server) callWithRetries(ctx context.Context, base string, nes NestedCall, callToken string) int {
	status := 0
	for range nes.Retries + 1 {
		srv.stats.countNestedAttempt(nes.Call)
		status = srv.sendOnce(ctx, base, nes, callToken)
		if !isFailure(status) || ctx.Err() != nil {
			break
		}
	}
	return status
}

func isFailure(status int) bool {
	return status == 0 || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// sendOnce sends one attempt of a nested call and returns the status of the answer, or 0 if there was no complete one.
func (srv *Server) sendOnce(ctx context.Context, base string, nes NestedCall, callToken string) int {
	method, path, _ := strings.Cut(nes.Call, " ")
	req, err := http.NewRequestWithContext(ctx, method, base+path, http.NoBody)
	if err != nil {
		return 0
	}
	req.Header.Set(callHeader, callToken)
	rsp, err := srv.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = rsp.Body.Close() }()
	if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
		return 0
	}
	return rsp.StatusCode
}

func (srv *Server) serveHealth(rsw http.ResponseWriter, _ *http.Request) {
	cfg := srv.config.Load()
	text := srv.stats.healthAt(time.Now().Add(-cfg.healthLag))
	if cfg.fixedHealth != "" {
		text = cfg.fixedHealth
	}
	if text != healthOK {
		rsw.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(rsw, text)
}

func (srv *Server) serveLoad(rsw http.ResponseWriter, _ *http.Request) {
	val := srv.stats.loadAt(time.Now().Add(-srv.config.Load().healthLag))
	_, _ = io.WriteString(rsw, strconv.FormatFloat(val, 'g', -1, 64))
}

// LimitListener returns a listener that accepts a connection only while fewer than Connections are open.
func (srv *Server) LimitListener(lis net.Listener) net.Listener {
	if srv.maxConnections == 0 {
		return lis
	}
	return &limitedListener{Listener: lis, permits: make(chan struct{}, srv.maxConnections), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	permits chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// Accept waits until fewer connections than the bound are open, and then for a connection.
func (lli *limitedListener) Accept() (net.Conn, error) {
	select {
	case lli.permits <- struct{}{}:
	case <-lli.closed:
		return nil, net.ErrClosed
	}
	conn, err := lli.Listener.Accept()
	if err != nil {
		<-lli.permits
		return nil, err
	}
	return &limitedConn{Conn: conn, permits: lli.permits}, nil
}

// Close closes the listener and ends an Accept that waits for a connection to close.
func (lli *limitedListener) Close() error {
	lli.once.Do(func() { close(lli.closed) })
	return lli.Listener.Close()
}

type limitedConn struct {
	net.Conn
	permits chan struct{}
	once    sync.Once
}

// Close closes the connection and lets the listener accept another.
func (lco *limitedConn) Close() error {
	lco.once.Do(func() { <-lco.permits })
	return lco.Conn.Close()
}
