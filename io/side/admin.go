package side

import (
	"encoding/json"
	"net/http"

	"amaranthline/core/coordination/gossip"
	"amaranthline/io/base"

	"github.com/justinas/alice"
)

// Status is the state of a node as GET /status shows it.
type Status struct {
	Host     string         `json:"host"`
	Domain   string         `json:"domain"`
	Service  string         `json:"service"`
	Ready    bool           `json:"ready"`
	Leaving  bool           `json:"leaving"`
	Config   gossip.Status  `json:"configuration"`
	Upstream UpstreamStatus `json:"upstream"`
	Peers    []PeerStatus   `json:"peers"`
}

// UpstreamStatus is the use of the node's own upstream: its slots, which bound the calls in flight, the calls in
// flight, and those queued.
type UpstreamStatus struct {
	Slots    int `json:"slots"`
	InFlight int `json:"busy"`
	Queued   int `json:"waiting"`
}

// PeerStatus is the state of a peer as probes on the connection to it show it.
type PeerStatus struct {
	Host      string  `json:"host"`
	Reachable bool    `json:"reachable"`
	Leaving   bool    `json:"leaving"`
	Load      float64 `json:"load"`
	RTTMicros int64   `json:"rtt_microseconds"`
}

// admin returns what both the port for readiness checks and that for operators answer.
func (nod *Node) admin() http.Handler {
	return alice.New(base.NoStore).Then(nod.adminMux())
}

// operatorAdmin returns what the port for operators answers.
func (nod *Node) operatorAdmin() http.Handler {
	mux := nod.adminMux()
	mux.Handle("POST /explain", NewExplainHandler(nod.proxy.Explain))
	return alice.New(base.NoStore).Then(mux)
}

func (nod *Node) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", nod.metrics.Handler())
	mux.HandleFunc("GET /readyz", nod.serveReady)
	mux.HandleFunc("GET /status", nod.serveStatus)
	return mux
}

func (nod *Node) isReady() bool { return nod.ready.Load() && !nod.leaving.Load() }

func (nod *Node) serveReady(wri http.ResponseWriter, _ *http.Request) {
	if !nod.isReady() {
		http.Error(wri, "not ready: no configuration in force, or leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = wri.Write([]byte("ready\n"))
}

func (nod *Node) serveStatus(wri http.ResponseWriter, _ *http.Request) {
	wri.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(wri)
	enc.SetIndent("", "  ")
	_ = enc.Encode(nod.Status())
}

// Status returns the present state of the node.
func (nod *Node) Status() Status {
	slots, inFlight, queued := nod.proxy.SlotUsage()
	sta := Status{
		Host: nod.settings.Host, Domain: nod.settings.Domain, Service: nod.settings.Service, Ready: nod.isReady(),
		Leaving: nod.leaving.Load(), Config: nod.syncer.Status(),
		Upstream: UpstreamStatus{Slots: slots, InFlight: inFlight, Queued: queued},
	}
	for _, host := range nod.mesh.Hosts() {
		if pst := nod.mesh.State(host); pst.Known() {
			sta.Peers = append(sta.Peers, PeerStatus{
				Host: host, Reachable: pst.Up(), Leaving: pst.Leaving(), Load: pst.Load(), RTTMicros: pst.RTT().Microseconds(),
			})
		}
	}
	return sta
}

func (nod *Node) registerGauges(ignoredEntries func() int) {
	for _, gau := range []struct {
		name, help string
		read       func() int
	}{
		{"places", "Calls that the own upstream may run at once.", func() int { slots, _, _ := nod.proxy.SlotUsage(); return slots }},
		{"busy", "Calls at the own upstream.", func() int { _, inFlight, _ := nod.proxy.SlotUsage(); return inFlight }},
		{"waiting", "Calls waiting for the own upstream.", func() int { _, _, queued := nod.proxy.SlotUsage(); return queued }},
		{"teams", "Teams whose use of the own upstream counts towards their parts, those of each class separately.", func() int { return nod.proxy.TrackedTeams() }},
		{"ignored_items", "Invalid items of the configuration documents in force.", func() int { return len(nod.syncer.Ignored()) }},
		{"ignored_entries", "Registry entries that this node read and cannot use.", ignoredEntries},
	} {
		if gau.read == nil {
			continue
		}
		nod.metrics.RegisterGauge(gau.name, gau.help, func() float64 { return float64(gau.read()) })
	}
	nod.metrics.RegisterCounter("part_refused_total", "Calls refused because their teams used more than their parts of the own upstream.",
		func() float64 { return float64(nod.proxy.PartRefusals()) })
	nod.metrics.Register(&workCollector{source: nod.proxy})
}
