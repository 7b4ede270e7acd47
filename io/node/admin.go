package node

import (
	"encoding/json"
	"net/http"
	"time"

	"amaranthline/core/coordination/gossip"
	"amaranthline/core/coordination/share"
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
	Shares   share.Status   `json:"shares"`
	Peers    []PeerStatus   `json:"peers"`
	Domains  []DomainStatus `json:"failure_domains"`
	Keys     []KeyStatus    `json:"keys"`
}

// UpstreamStatus is the concurrency limit of the node's own upstream and its use, in calls. Load is the calls in flight
// and queued divided by the limit.
type UpstreamStatus struct {
	Limit    int     `json:"limit"`
	InFlight int     `json:"in_flight"`
	Queued   int     `json:"waiting"`
	Load     float64 `json:"load"`
}

// PeerStatus is the state of a peer to which the node keeps a connection.
type PeerStatus struct {
	Host      string  `json:"host"`
	Reachable bool    `json:"reachable"`
	Leaving   bool    `json:"leaving"`
	Load      float64 `json:"load"`
	RTTMicros int64   `json:"rtt_microseconds"`
}

// DomainStatus is a declared failure domain and whether it is out of service.
type DomainStatus struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// KeyStatus is a declared API key, by its identifier; the key itself is never shown.
type KeyStatus struct {
	ID   string `json:"id"`
	Team string `json:"team"`
}

func (nod *Node) admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", nod.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(wri http.ResponseWriter, _ *http.Request) { writeText(wri, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", nod.serveReady)
	mux.HandleFunc("GET /status", nod.serveStatus)
	return alice.New(base.NoStore).Then(mux)
}

func writeText(wri http.ResponseWriter, status int, text string) {
	wri.Header().Set("Content-Type", "text/plain; charset=utf-8")
	wri.WriteHeader(status)
	_, _ = wri.Write([]byte(text + "\n"))
}

func (nod *Node) serveReady(wri http.ResponseWriter, _ *http.Request) {
	if !nod.isReady(time.Now()) {
		writeText(wri, http.StatusServiceUnavailable, "not ready: no configuration in force, no share of the teams' rates yet, or leaving")
		return
	}
	writeText(wri, http.StatusOK, "ready")
}

func (nod *Node) serveStatus(wri http.ResponseWriter, _ *http.Request) {
	wri.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(wri)
	enc.SetIndent("", "  ")
	_ = enc.Encode(nod.Status(time.Now()))
}

// Status returns the state of the node at a time.
func (nod *Node) Status(now time.Time) Status {
	sta := Status{
		Host: nod.settings.Host, Domain: nod.settings.Domain, Service: nod.settings.Service,
		Ready: nod.isReady(now), Leaving: nod.handler.Leaving(), Config: nod.syncer.Status(), Shares: nod.shares.Status(),
		Upstream: UpstreamStatus{
			Limit: nod.gate.Limit(), InFlight: nod.gate.InFlight(), Queued: nod.gate.Queued(), Load: nod.gate.Load(),
		},
	}
	for _, host := range nod.hostView.HostsToConnect(now) {
		pst := nod.mesh.State(host)
		sta.Peers = append(sta.Peers, PeerStatus{
			Host: host, Reachable: nod.hostView.Reachable(now, host), Leaving: pst.Leaving(), Load: pst.Load(),
			RTTMicros: pst.RTT().Microseconds(),
		})
	}
	if sna := nod.syncer.Snapshot(); sna != nil {
		for _, name := range sna.DomainNames() {
			sta.Domains = append(sta.Domains, DomainStatus{Name: name, Out: sna.Domain(name).OutOfService()})
		}
		for _, key := range sna.Keys() {
			sta.Keys = append(sta.Keys, KeyStatus{ID: key.ID(), Team: key.Team().Name()})
		}
	}
	return sta
}

func (nod *Node) registerGauges() {
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"limit", "Concurrency limit of the own upstream, in calls.", func() float64 { return float64(nod.gate.Limit()) }},
		{"in_flight", "Calls in flight at the own upstream.", func() float64 { return float64(nod.gate.InFlight()) }},
		{"waiting", "Calls waiting for the own upstream.", func() float64 { return float64(nod.gate.Queued()) }},
		{"ignored_items", "Invalid items of the configuration documents in force.", func() float64 { return float64(len(nod.syncer.Ignored())) }},
	}
	for _, gau := range gauges {
		nod.metrics.RegisterGauge(gau.name, gau.help, gau.read)
	}
}
