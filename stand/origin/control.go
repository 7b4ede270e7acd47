package origin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"
)

// duration is a Go duration in JSON, such as "5ms".
type duration time.Duration

// UnmarshalText reads a Go duration.
func (dur *duration) UnmarshalText(text []byte) error {
	val, err := time.ParseDuration(string(text))
	*dur = duration(val)
	return err
}

// controlBody is the body of any control request. A field that a request leaves out keeps its current value, because the
// body is decoded into a controlBody that holds the current values.
type controlBody struct {
	Time        duration     `json:"time"`
	Exponential bool         `json:"exponential"`
	Padding     int          `json:"padding"`
	Factor      float64      `json:"factor"`
	On          *bool        `json:"on"`
	Slots       int          `json:"slots"`
	Over        duration     `json:"over"`
	Base        string       `json:"base"`
	Calls       []NestedCall `json:"calls"`
	Lag         duration     `json:"lag"`
	Fixed       string       `json:"fixed"`
	Marker      string       `json:"marker"`
}

func (cob *controlBody) onOrCurrent(current bool) bool {
	if cob.On == nil {
		return current
	}
	return *cob.On
}

// command is one kind of control request: the fields that it accepts and how it applies them.
type command struct {
	fields []string
	apply  func(*config, *controlBody)
}

var commands = map[string]command{
	"service": {[]string{"time", "exponential", "padding"}, func(cfg *config, cob *controlBody) {
		cfg.serviceTime, cfg.exponential, cfg.padding = time.Duration(cob.Time), cob.Exponential, cob.Padding
	}},
	"slow":  {[]string{"factor"}, func(cfg *config, cob *controlBody) { cfg.slowFactor = cob.Factor }},
	"shed":  {[]string{"on"}, func(cfg *config, cob *controlBody) { cfg.shedding = cob.onOrCurrent(cfg.shedding) }},
	"drain": {[]string{"on"}, func(cfg *config, cob *controlBody) { cfg.draining = cob.onOrCurrent(cfg.draining) }},
	"cold": {[]string{"slots", "over"}, func(cfg *config, cob *controlBody) {
		cfg.initialWarmSlots, cfg.warmupTime, cfg.warmupStart = cob.Slots, time.Duration(cob.Over), time.Now()
	}},
	"nested": {[]string{"base", "calls"}, func(cfg *config, cob *controlBody) { cfg.nestedURL, cfg.nestedCalls = cob.Base, cob.Calls }},
	"health": {[]string{"lag", "fixed"}, func(cfg *config, cob *controlBody) {
		cfg.healthLag, cfg.fixedHealth = time.Duration(cob.Lag), cob.Fixed
	}},
	"crash": {[]string{"marker"}, func(cfg *config, cob *controlBody) { cfg.crashMarker = cob.Marker }},
}

// Control returns the handler of the control port.
func (srv *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/{name}", srv.serveCommand)
	mux.HandleFunc("GET /control/stats", func(rsw http.ResponseWriter, _ *http.Request) {
		rsw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rsw).Encode(srv.Stats())
	})
	return mux
}

func (srv *Server) serveCommand(rsw http.ResponseWriter, req *http.Request) {
	name := req.PathValue("name")
	if name == "reset" {
		srv.stats.reset()
		rsw.WriteHeader(http.StatusNoContent)
		return
	}
	cmd, ok := commands[name]
	if !ok {
		http.Error(rsw, fmt.Sprintf("control command %q does not exist; see the documentation of package origin", name), http.StatusNotFound)
		return
	}
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(req.Body).Decode(&fields); err != nil {
		http.Error(rsw, fmt.Sprintf("the body is not a JSON object; send one with the fields of the command: %v", err), http.StatusBadRequest)
		return
	}
	if err := srv.applyCommand(cmd, fields); err != nil {
		http.Error(rsw, err.Error(), http.StatusBadRequest)
		return
	}
	rsw.WriteHeader(http.StatusNoContent)
}

// applyCommand applies a command to a copy of the configuration and replaces the configuration by it.
func (srv *Server) applyCommand(cmd command, fields map[string]json.RawMessage) error {
	for name := range fields {
		if !strings.Contains(" "+strings.Join(cmd.fields, " ")+" ", " "+name+" ") {
			return fmt.Errorf("field %q does not exist; use %q", name, cmd.fields)
		}
	}
	srv.mut.Lock()
	defer srv.mut.Unlock()
	cfg := *srv.config.Load()
	cob := cfg.currentValues()
	if _, ok := fields["calls"]; ok {
		cob.Calls = nil // decoding into the slice would change the calls of the current configuration
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, cob); err != nil {
		return fmt.Errorf("a field has the wrong type; see the documentation of package origin: %w", err)
	}
	if cob.Factor <= 0 || cob.Time < 0 || cob.Padding < 0 || cob.Over < 0 || cob.Lag < 0 {
		return fmt.Errorf("a number is out of range; use a factor above zero and no negative values")
	}
	cmd.apply(&cfg, cob)
	srv.config.Store(&cfg)
	srv.stats.setHealth(cfg.currentHealth())
	return nil
}

// currentValues returns a control body with the current values; "on" stays nil, because it belongs to two commands.
func (cfg *config) currentValues() *controlBody {
	return &controlBody{
		Time: duration(cfg.serviceTime), Exponential: cfg.exponential, Padding: cfg.padding, Factor: cfg.slowFactor,
		Slots: cfg.initialWarmSlots, Over: duration(cfg.warmupTime), Base: cfg.nestedURL, Calls: cfg.nestedCalls,
		Lag: duration(cfg.healthLag), Fixed: cfg.fixedHealth, Marker: cfg.crashMarker,
	}
}

// The texts that GET /health answers.
const (
	healthOK       = "ok"
	healthDraining = "draining"
	healthShedding = "shedding"
)

func (cfg *config) currentHealth() string {
	switch {
	case cfg.draining:
		return healthDraining
	case cfg.shedding:
		return healthShedding
	}
	return healthOK
}

// Stats are the statistics since the start of the server or the last reset; the package documentation describes them.
type Stats struct {
	Runs             map[string]int `json:"runs"`
	RunsByKey        map[string]int `json:"runs_by_key"`
	Nested           map[string]int `json:"nested"`
	ForbiddenHeaders map[string]int `json:"forbidden"`
	WithoutToken     int            `json:"without_token"`
	Refused          int            `json:"refused"`
	Cancelled        int            `json:"cancelled"`
	InFlight         int            `json:"in_flight"`
	PeakInFlight     int            `json:"peak_in_flight"`
}

// Stats returns a copy of the statistics.
func (srv *Server) Stats() Stats {
	srv.stats.mut.Lock()
	defer srv.stats.mut.Unlock()
	out := srv.stats.Stats
	out.Runs, out.RunsByKey = maps.Clone(out.Runs), maps.Clone(out.RunsByKey)
	out.Nested, out.ForbiddenHeaders = maps.Clone(out.Nested), maps.Clone(out.ForbiddenHeaders)
	return out
}

// stats collects the statistics, and the histories from which GET /health and GET /load answer with a past state.
type stats struct {
	mut sync.Mutex
	Stats
	healthHistory history[string]
	loadHistory   history[float64]
}

func newStats() *stats {
	sta := &stats{}
	sta.clear()
	sta.healthHistory.add(healthOK)
	sta.loadHistory.add(0)
	return sta
}

func (sta *stats) clear() {
	sta.Stats = Stats{
		Runs: map[string]int{}, RunsByKey: map[string]int{}, Nested: map[string]int{}, ForbiddenHeaders: map[string]int{},
		InFlight: sta.InFlight, PeakInFlight: sta.InFlight,
	}
}

func (sta *stats) reset() {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.clear()
}

// forbiddenHeaders are the headers that a node must not forward: the header with the team's key and hop-by-hop headers.
var forbiddenHeaders = []string{"Authorization", "Proxy-Authorization", "Keep-Alive", "Proxy-Connection", "Upgrade", "Trailer"}

func (sta *stats) countHeaders(hdr http.Header) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	for _, name := range forbiddenHeaders {
		if _, ok := hdr[name]; ok {
			sta.ForbiddenHeaders[name]++
		}
	}
	for name := range hdr {
		if strings.HasPrefix(name, reservedPrefix) && name != callHeader {
			sta.ForbiddenHeaders[name]++
		}
	}
	if hdr.Get(callHeader) == "" {
		sta.WithoutToken++
	}
}

func (sta *stats) addInFlight(slots int) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.InFlight++
	sta.PeakInFlight = max(sta.PeakInFlight, sta.InFlight)
	sta.loadHistory.add(float64(sta.InFlight) / float64(slots))
}

func (sta *stats) removeInFlight(slots int) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.InFlight--
	sta.loadHistory.add(float64(sta.InFlight) / float64(slots))
}

func (sta *stats) countRun(req *http.Request) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.Runs[req.Method+" "+req.URL.Path]++
	if key := req.Header.Get(idempotencyKeyHeader); key != "" {
		sta.RunsByKey[key]++
	}
}

func (sta *stats) countNestedAttempt(call string) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.Nested[call]++
}

func (sta *stats) countRefusal() {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.Refused++
}

func (sta *stats) countCancellation() {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.Cancelled++
}

func (sta *stats) setHealth(state string) {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	sta.healthHistory.add(state)
}

func (sta *stats) healthAt(when time.Time) string {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.healthHistory.at(when)
}

func (sta *stats) loadAt(when time.Time) float64 {
	sta.mut.Lock()
	defer sta.mut.Unlock()
	return sta.loadHistory.at(when)
}

// maxHistoryEntries bounds the entries of a history. A full history drops its older half; a time before the oldest entry
// then has the value of that entry.
const maxHistoryEntries = 1 << 14

// history holds the values that a variable has had, with the times from which they applied.
type history[T any] struct {
	times  []time.Time
	values []T
}

func (his *history[T]) add(val T) {
	if len(his.times) == maxHistoryEntries {
		his.times = append(his.times[:0], his.times[maxHistoryEntries/2:]...)
		his.values = append(his.values[:0], his.values[maxHistoryEntries/2:]...)
	}
	his.times = append(his.times, time.Now())
	his.values = append(his.values, val)
}

// at returns the value at a time, or the oldest value if the time is before the oldest entry.
func (his *history[T]) at(when time.Time) T {
	for i := len(his.times) - 1; i > 0; i-- {
		if !his.times[i].After(when) {
			return his.values[i]
		}
	}
	return his.values[0]
}
