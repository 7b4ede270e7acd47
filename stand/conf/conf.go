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
	maxDocumentBytes  = 1 << 20
	maxWaitSeconds    = 60
	rateWindowSeconds = 10 // over which calls per second are averaged
)

// The modes of the stand-in configuration service: its newest documents, its documents as they were when the mode was
// set, or status 503.
const (
	ModeLive  = "live"
	ModeStale = "stale"
	ModeDown  = "down"
)

// document is one published version of a document.
type document struct {
	version uint64
	data    []byte
}

// Service is an http.Handler with the protocol of the configuration service.
type Service struct {
	mux *http.ServeMux

	mut       sync.Mutex
	mode      string
	published map[string]document
	visible   map[string]document // what nodes read; differs from published while the mode is ModeStale
	changed   chan struct{}       // closed at each change
	calls     uint64
	waiting   int
	buckets   [rateWindowSeconds]bucket
}

// bucket counts the calls of one second.
type bucket struct {
	second int64
	calls  int
}

// New returns a service without documents.
func New() *Service {
	ser := &Service{
		mux: http.NewServeMux(), mode: ModeLive, published: map[string]document{}, visible: map[string]document{},
		changed: make(chan struct{}),
	}
	ser.mux.HandleFunc("GET /v1/values/{name}", ser.getDocument)
	ser.mux.HandleFunc("PUT /v1/values/{name}", ser.putDocument)
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
	ser.mut.Lock()
	defer ser.mut.Unlock()
	var versioned struct {
		Version uint64 `json:"version"`
	}
	version := ser.published[name].version + 1
	if err := json.Unmarshal(data, &versioned); err == nil && versioned.Version > 0 {
		version = versioned.Version
	}
	ser.published[name] = document{version: version, data: data}
	if ser.mode != ModeStale {
		ser.visible[name] = ser.published[name]
		ser.broadcast()
	}
	return version
}

// SetMode changes the mode and wakes all waiting watches; those that have an answer in the new mode end.
func (ser *Service) SetMode(mode string) {
	ser.mut.Lock()
	defer ser.mut.Unlock()
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

// Calls returns the statistics of the calls of nodes.
func (ser *Service) Calls() CallStats {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	sum, now := 0, time.Now().Unix()
	for _, bkt := range ser.buckets {
		if now-bkt.second < rateWindowSeconds {
			sum += bkt.calls
		}
	}
	return CallStats{Calls: ser.calls, Waiting: ser.waiting, PerSecond: float64(sum) / rateWindowSeconds}
}

func (ser *Service) countCall() {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	ser.calls++
	now := time.Now().Unix()
	bkt := &ser.buckets[now%rateWindowSeconds]
	if bkt.second != now {
		*bkt = bucket{second: now}
	}
	bkt.calls++
}

// lookup returns the version of a document that nodes can read, whether the service is down, and a channel that is closed
// at the next change.
func (ser *Service) lookup(name string) (doc document, down bool, changed <-chan struct{}) {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	return ser.visible[name], ser.mode == ModeDown, ser.changed
}

func (ser *Service) getDocument(wri http.ResponseWriter, req *http.Request) {
	ser.countCall()
	name := req.PathValue("name")
	after, wait, err := watchParams(req)
	if err != nil {
		writeError(wri, http.StatusBadRequest, err.Error())
		return
	}
	doc, down, ok := ser.await(req, name, after, wait)
	switch {
	case down:
		writeError(wri, http.StatusServiceUnavailable, "the configuration service is in mode down; set the mode live")
	case doc.version == 0 && wait == 0:
		writeError(wri, http.StatusNotFound, fmt.Sprintf("document %q has not been published; PUT it first", name))
	case !ok:
		wri.WriteHeader(http.StatusNotModified)
	default:
		wri.Header().Set("Version", strconv.FormatUint(doc.version, 10))
		wri.Header().Set("Content-Type", "application/json")
		_, _ = wri.Write(doc.data)
	}
}

// await returns a document with ok true once its version is above after, and with ok false when the wait or the request
// has ended. While the service is down it returns immediately.
func (ser *Service) await(req *http.Request, name string, after uint64, wait time.Duration) (doc document, down, ok bool) {
	if wait > 0 {
		ser.addWaiting(1)
		defer ser.addWaiting(-1)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		doc, down, changed := ser.lookup(name)
		if down || doc.version > after {
			return doc, down, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return doc, false, false
		case <-req.Context().Done():
			return doc, false, false
		}
	}
}

func (ser *Service) addWaiting(delta int) {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	ser.waiting += delta
}

var errWatchParams = errors.New("the parameters after and wait must both be whole numbers; use ?after=VERSION&wait=SECONDS")

// watchParams returns the parameters of a watch. A call without them is a read, which is a watch above version 0 that does
// not wait.
func watchParams(req *http.Request) (after uint64, wait time.Duration, err error) {
	query := req.URL.Query()
	if !query.Has("after") && !query.Has("wait") {
		return 0, 0, nil
	}
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, 0, errWatchParams
	}
	seconds, err := strconv.ParseUint(query.Get("wait"), 10, 32)
	if err != nil {
		return 0, 0, errWatchParams
	}
	return after, time.Duration(min(seconds, maxWaitSeconds)) * time.Second, nil
}

func (ser *Service) putDocument(wri http.ResponseWriter, req *http.Request) {
	data, ok := readBody(wri, req)
	if !ok {
		return
	}
	writeJSON(wri, map[string]uint64{"version": ser.Publish(req.PathValue("name"), data)})
}

// readBody reads the body of an operator's call, or answers 413 if it is too large.
func readBody(wri http.ResponseWriter, req *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, maxDocumentBytes))
	if err != nil {
		writeError(wri, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body cannot be read: %v; send at most %d bytes", err, maxDocumentBytes))
		return nil, false
	}
	return data, true
}

// modeBody is the body of the calls that read and set the mode.
type modeBody struct {
	Mode string `json:"mode"`
}

func (ser *Service) getMode(wri http.ResponseWriter, _ *http.Request) {
	ser.mut.Lock()
	mode := ser.mode
	ser.mut.Unlock()
	writeJSON(wri, modeBody{Mode: mode})
}

func (ser *Service) putMode(wri http.ResponseWriter, req *http.Request) {
	data, ok := readBody(wri, req)
	if !ok {
		return
	}
	var bod modeBody
	err := json.Unmarshal(data, &bod)
	if err != nil || bod.Mode != ModeLive && bod.Mode != ModeStale && bod.Mode != ModeDown {
		writeError(wri, http.StatusBadRequest, `the body does not set a known mode; send {"mode": "live"}, {"mode": "stale"} or {"mode": "down"}`)
		return
	}
	ser.SetMode(bod.Mode)
	writeJSON(wri, bod)
}

func (ser *Service) getCalls(wri http.ResponseWriter, _ *http.Request) { writeJSON(wri, ser.Calls()) }

func writeJSON(wri http.ResponseWriter, val any) {
	wri.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wri).Encode(val)
}

func writeError(wri http.ResponseWriter, status int, text string) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(map[string]string{"error": text})
}
