package conf

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maxDocumentBytes = 1 << 20
	maxWait          = 60 // seconds
	rateWindow       = 10 // seconds
)

// The modes of a service.
const (
	ModeLive  = "live"
	ModeStale = "stale"
	ModeDown  = "down"
)

// value is one published document.
type value struct {
	version uint64
	data    []byte
}

// Service is an http.Handler with the protocol of the configuration service.
type Service struct {
	mux *http.ServeMux

	mu        sync.Mutex
	mode      string
	published map[string]value
	visible   map[string]value // what nodes see; differs from published while stale
	changed   chan struct{}    // closed at each change
	calls     uint64
	waiting   int
	seconds   [rateWindow]bucket
}

// bucket counts the calls of one second.
type bucket struct {
	second int64
	calls  int
}

// New returns a service without documents.
func New() *Service {
	ser := &Service{
		mux: http.NewServeMux(), mode: ModeLive, published: map[string]value{}, visible: map[string]value{},
		changed: make(chan struct{}),
	}
	ser.mux.HandleFunc("GET /v1/values/{name}", ser.get)
	ser.mux.HandleFunc("PUT /v1/values/{name}", ser.put)
	ser.mux.HandleFunc("GET /v1/mode", ser.getMode)
	ser.mux.HandleFunc("PUT /v1/mode", ser.putMode)
	ser.mux.HandleFunc("GET /v1/calls", ser.getCalls)
	return ser
}

// ServeHTTP answers one call.
func (ser *Service) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	ser.mux.ServeHTTP(wri, req)
}

// Publish replaces a document and returns its version.
func (ser *Service) Publish(name string, data []byte) uint64 {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	var inside struct {
		Version uint64 `json:"version"`
	}
	version := ser.published[name].version + 1
	if err := json.Unmarshal(data, &inside); err == nil && inside.Version > 0 {
		version = inside.Version
	}
	ser.published[name] = value{version: version, data: data}
	if ser.mode != ModeStale {
		ser.visible[name] = ser.published[name]
		ser.broadcast()
	}
	return version
}

// SetMode changes the mode and ends waits that the new mode decides.
func (ser *Service) SetMode(mode string) {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.mode = mode
	ser.visible = maps.Clone(ser.published)
	ser.broadcast()
}

func (ser *Service) broadcast() {
	close(ser.changed)
	ser.changed = make(chan struct{})
}

// CallStats describes the load that nodes put on the service.
type CallStats struct {
	Calls     uint64  `json:"calls"`
	Waiting   int     `json:"waiting"`
	PerSecond float64 `json:"per_second"`
}

// Calls returns the calls of nodes so far.
func (ser *Service) Calls() CallStats {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	sum, now := 0, time.Now().Unix()
	for _, buc := range ser.seconds {
		if now-buc.second < rateWindow {
			sum += buc.calls
		}
	}
	return CallStats{Calls: ser.calls, Waiting: ser.waiting, PerSecond: float64(sum) / rateWindow}
}

func (ser *Service) count() {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.calls++
	now := time.Now().Unix()
	buc := &ser.seconds[now%rateWindow]
	if buc.second != now {
		*buc = bucket{second: now}
	}
	buc.calls++
}

// look returns what nodes see of a document, and a channel that closes at the next change.
func (ser *Service) look(name string) (val value, down bool, changed <-chan struct{}) {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	return ser.visible[name], ser.mode == ModeDown, ser.changed
}

func (ser *Service) get(wri http.ResponseWriter, req *http.Request) {
	ser.count()
	name := req.PathValue("name")
	after, wait, err := watchOf(req)
	if err != nil {
		fail(wri, http.StatusBadRequest, err.Error())
		return
	}
	val, down, ok := ser.await(req, name, after, wait)
	switch {
	case down:
		fail(wri, http.StatusServiceUnavailable, "the service is down; set the mode live")
	case val.version == 0 && wait == 0:
		fail(wri, http.StatusNotFound, fmt.Sprintf("%q has not been published; PUT it first", name))
	case !ok:
		wri.WriteHeader(http.StatusNotModified)
	default:
		wri.Header().Set("Version", strconv.FormatUint(val.version, 10))
		wri.Header().Set("Content-Type", "application/json")
		_, _ = wri.Write(val.data)
	}
}

// await returns the document once it is above a version, or false after the wait. While the service is down it
// returns at once.
func (ser *Service) await(req *http.Request, name string, after uint64, wait time.Duration) (val value, down, ok bool) {
	if wait > 0 {
		ser.wait(1)
		defer ser.wait(-1)
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		val, down, changed := ser.look(name)
		if down || val.version > after {
			return val, down, true
		}
		select {
		case <-changed:
		case <-end.C:
			return val, false, false
		case <-req.Context().Done():
			return val, false, false
		}
	}
}

func (ser *Service) wait(more int) {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	ser.waiting += more
}

var errWatch = errors.New("after and wait must be whole numbers; use ?after=VERSION&wait=SECONDS")

// watchOf returns the parameters of a watch; a read is a watch above version 0 without a wait.
func watchOf(req *http.Request) (after uint64, wait time.Duration, err error) {
	query := req.URL.Query()
	if !query.Has("after") && !query.Has("wait") {
		return 0, 0, nil
	}
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, 0, errWatch
	}
	seconds, err := strconv.ParseUint(query.Get("wait"), 10, 32)
	if err != nil {
		return 0, 0, errWatch
	}
	return after, time.Duration(min(seconds, maxWait)) * time.Second, nil
}

func (ser *Service) put(wri http.ResponseWriter, req *http.Request) {
	data, ok := body(wri, req)
	if !ok {
		return
	}
	answer(wri, map[string]uint64{"version": ser.Publish(req.PathValue("name"), data)})
}

// body reads the body of an operator's call.
func body(wri http.ResponseWriter, req *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, maxDocumentBytes))
	if err != nil {
		fail(wri, http.StatusRequestEntityTooLarge, fmt.Sprintf("%v; send at most %d bytes", err, maxDocumentBytes))
		return nil, false
	}
	return data, true
}

// modeBody is the body of the calls that read and set the mode.
type modeBody struct {
	Mode string `json:"mode"`
}

func (ser *Service) getMode(wri http.ResponseWriter, _ *http.Request) {
	ser.mu.Lock()
	mode := ser.mode
	ser.mu.Unlock()
	answer(wri, modeBody{Mode: mode})
}

func (ser *Service) putMode(wri http.ResponseWriter, req *http.Request) {
	data, ok := body(wri, req)
	if !ok {
		return
	}
	var set modeBody
	err := json.Unmarshal(data, &set)
	if err != nil || set.Mode != ModeLive && set.Mode != ModeStale && set.Mode != ModeDown {
		fail(wri, http.StatusBadRequest, `the mode is unknown; send {"mode": "live"}, {"mode": "stale"} or {"mode": "down"}`)
		return
	}
	ser.SetMode(set.Mode)
	answer(wri, set)
}

func (ser *Service) getCalls(wri http.ResponseWriter, _ *http.Request) { answer(wri, ser.Calls()) }

func answer(wri http.ResponseWriter, val any) {
	wri.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wri).Encode(val)
}

func fail(wri http.ResponseWriter, status int, text string) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(map[string]string{"error": text})
}
