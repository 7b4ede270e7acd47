package side

import (
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/relay"
	"amaranthline/io/transport/mesh"

	"github.com/prometheus/client_golang/prometheus"
)

const metricPrefix = "amaranthline_"

// latencyBuckets spans from the added latency of a hop to the longest usual deadline, in seconds.
var latencyBuckets = []float64{.0005, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// metrics counts what the request path reports.
type metrics struct {
	registry *prometheus.Registry
	classes  *prometheus.HistogramVec
	teams    *prometheus.HistogramVec
	refused  *prometheus.CounterVec
	retried  *prometheus.CounterVec
	peers    *prometheus.CounterVec
}

func newMetrics() *metrics {
	met := &metrics{
		registry: prometheus.NewRegistry(),
		classes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: metricPrefix + "class_latency_seconds", Help: "Time to a whole answer, by class.", Buckets: latencyBuckets,
		}, []string{"class", "kind"}),
		teams: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: metricPrefix + "team_latency_seconds", Help: "Time to a whole answer, by team.", Buckets: latencyBuckets,
		}, []string{"team", "kind"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricPrefix + "refused_total", Help: "Requests refused or failed, by reason, class and team.",
		}, []string{"reason", "class", "team"}),
		retried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricPrefix + "retries_total", Help: "Further attempts of calls, by class.",
		}, []string{"class"}),
		peers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricPrefix + "peer_events_total", Help: "Events of connections between nodes, by kind.",
		}, []string{"event"}),
	}
	met.registry.MustRegister(met.classes, met.teams, met.refused, met.retried, met.peers)
	return met
}

// watch registers gauges of the own upstream.
func (met *metrics) watch(rel *relay.Relay) {
	for _, gau := range []struct {
		name, help string
		read       func() int
	}{
		{"places", "Calls that the own upstream may run at once.", func() int { slots, _, _ := rel.Places(); return slots }},
		{"busy", "Calls at the own upstream.", func() int { _, busy, _ := rel.Places(); return busy }},
		{"waiting", "Calls waiting for the own upstream.", func() int { _, _, waiting := rel.Places(); return waiting }},
	} {
		met.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: metricPrefix + gau.name, Help: gau.help}, func() float64 { return float64(gau.read()) }))
	}
}

func (met *metrics) countPeers(eve mesh.Event) { met.peers.WithLabelValues(eve.String()).Inc() }

func kindLabel(nested bool) string {
	if nested {
		return "nested"
	}
	return "root"
}

// Served records a whole answer.
func (met *metrics) Served(class, team string, nested bool, took time.Duration) {
	kind := kindLabel(nested)
	met.classes.WithLabelValues(class, kind).Observe(took.Seconds())
	met.teams.WithLabelValues(team, kind).Observe(took.Seconds())
}

// Refused counts a refusal.
func (met *metrics) Refused(reason core.Reason, class, team string) {
	met.refused.WithLabelValues(string(reason), class, team).Inc()
}

// Retried counts a further attempt.
func (met *metrics) Retried(class string) { met.retried.WithLabelValues(class).Inc() }
