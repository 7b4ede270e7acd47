package base

import (
	"net/http"
	"time"

	"amaranthline/core"
	"amaranthline/io/transport/front"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	metricPrefix  = "amaranthline_"
	maxScrapes    = 4 // metrics that are collected at once
	scrapeTimeout = 5 * time.Second
)

// latencyBuckets are in seconds. The lowest is the latency that one hop adds, the highest the longest usual deadline.
var latencyBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// Metrics holds the Prometheus metrics of a node; it implements core.Observer.
type Metrics struct {
	registry     *prometheus.Registry
	classLatency *prometheus.HistogramVec
	teamLatency  *prometheus.HistogramVec
	refused      *prometheus.CounterVec
	retries      *prometheus.CounterVec
	peerEvents   *prometheus.CounterVec
	callerLimits *prometheus.CounterVec
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	met := &Metrics{
		registry: prometheus.NewRegistry(),
		classLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: metricPrefix + "class_latency_seconds", Help: "Time to a whole answer, by class.", Buckets: latencyBuckets,
		}, []string{"class", "kind"}),
		teamLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: metricPrefix + "team_latency_seconds", Help: "Time to a whole answer, by team.", Buckets: latencyBuckets,
		}, []string{"team", "kind"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricPrefix + "refused_total", Help: "Requests refused or failed, by reason, class and team.",
		}, []string{"reason", "class", "team"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricPrefix + "retries_total", Help: "Further attempts of calls, by class.",
		}, []string{"class"}),
		peerEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricPrefix + "peer_events_total", Help: "Events of connections between nodes, by kind.",
		}, []string{"event"}),
		callerLimits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricPrefix + "callers_limited_total", Help: "Connections closed and requests refused because callers met a limit, by limit.",
		}, []string{"limit"}),
	}
	met.registry.MustRegister(met.classLatency, met.teamLatency, met.refused, met.retries, met.peerEvents, met.callerLimits)
	return met
}

// RegisterGauge registers a gauge whose value is read at each collection.
func (met *Metrics) RegisterGauge(name, help string, read func() float64) {
	met.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}, read))
}

// RegisterCounter registers a counter whose value is read at each collection.
func (met *Metrics) RegisterCounter(name, help string, read func() float64) {
	met.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: metricPrefix + name, Help: help}, read))
}

// RegisterAhead registers the metrics of the requests that a frontend began ahead of their turn.
func (met *Metrics) RegisterAhead(stats func() front.AheadStats) {
	met.RegisterCounter("ahead_begun_total", "Requests begun before those sent ahead of them on their connection were answered.",
		func() float64 { return float64(stats().Begun()) })
	met.RegisterCounter("ahead_restarted_total", "Requests begun ahead that were refused for overload and begun again in their turn.",
		func() float64 { return float64(stats().Restarted()) })
	met.RegisterCounter("ahead_discarded_total", "Requests begun ahead that were given up, because their caller left or an answer before theirs broke off.",
		func() float64 { return float64(stats().Discarded()) })
	met.RegisterGauge("ahead_waiting", "Requests begun ahead whose turn has not come.", func() float64 { return float64(stats().Waiting()) })
	met.RegisterGauge("ahead_lowered_routes", "Routes on which fewer requests of a connection are begun ahead, because of overload.",
		func() float64 { return float64(stats().Lowered()) })
}

// CountPeerEvent counts an event of a connection to a peer, such as its opening.
func (met *Metrics) CountPeerEvent(event string) { met.peerEvents.WithLabelValues(event).Inc() }

// CountCallerLimit counts that a caller met a limit.
func (met *Metrics) CountCallerLimit(limit string) { met.callerLimits.WithLabelValues(limit).Inc() }

// CallerLimits is the present use of the limits of callers.
type CallerLimits interface {
	Connections() int
	HeadBytes() int
	RequestBytes() int
}

// RegisterCallerGauges registers the gauges of what callers make the node hold.
func (met *Metrics) RegisterCallerGauges(lim CallerLimits) {
	for _, gau := range []struct {
		name, help string
		read       func() int
	}{
		{"caller_connections", "Open connections of callers.", lim.Connections},
		{"caller_head_bytes", "Bytes that unfinished heads hold beyond the smallest buffer of each.", lim.HeadBytes},
		{"caller_request_bytes", "Bytes that requests and their answers hold beyond the free part of each.", lim.RequestBytes},
	} {
		met.RegisterGauge(gau.name, gau.help, func() float64 { return float64(gau.read()) })
	}
}

// Register adds collectors to the registry.
func (met *Metrics) Register(cols ...prometheus.Collector) { met.registry.MustRegister(cols...) }

// Handler serves the metrics in the Prometheus text format.
func (met *Metrics) Handler() http.Handler {
	// A compressor takes 800 KB for each answer. The timeout handler holds each answer as text, so that a client that does not
	// read keeps neither the collected metrics nor one of the places for collecting them.
	han := promhttp.HandlerFor(met.registry, promhttp.HandlerOpts{DisableCompression: true, MaxRequestsInFlight: maxScrapes})
	return http.TimeoutHandler(han, scrapeTimeout, "collecting the metrics took too long")
}

func kindLabel(nested bool) string {
	if nested {
		return "nested"
	}
	return "root"
}

// Served records how long a whole answer took, by class and by team.
func (met *Metrics) Served(class, team string, nested bool, elapsed time.Duration) {
	kind := kindLabel(nested)
	met.classLatency.WithLabelValues(class, kind).Observe(elapsed.Seconds())
	met.teamLatency.WithLabelValues(team, kind).Observe(elapsed.Seconds())
}

// Refused counts a request that was refused or failed.
func (met *Metrics) Refused(reason core.Reason, class, team string) {
	met.refused.WithLabelValues(string(reason), class, team).Inc()
}

// Retried counts a retry.
func (met *Metrics) Retried(class string) { met.retries.WithLabelValues(class).Inc() }
