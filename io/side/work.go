package side

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"amaranthline/core/state/cost"

	"github.com/prometheus/client_golang/prometheus"
)

// maxWorkLabels is the number of kinds of calls that the metrics show, those with the most calls.
const maxWorkLabels = 32

var (
	callWorkDesc = prometheus.NewDesc("amaranthline_call_work_seconds",
		"Expected work of a call at the own upstream without waits for nested calls, by kind; the size is a class of the length of the body.",
		[]string{"route", "method", "size"}, nil)
	expectedWaitDesc = prometheus.NewDesc("amaranthline_expected_wait_seconds", "Expected wait of a new call for a slot of the own upstream.", nil, nil)
	speedDesc        = prometheus.NewDesc("amaranthline_upstream_speed",
		"Speed of the own upstream against the others of its service, as far as this node sends calls to them.", nil, nil)
	slownessDesc = prometheus.NewDesc("amaranthline_upstream_time_factor", "Time that the own upstream needs for a call at present, as a multiple of its usual time.", nil, nil)
)

// workSource knows the work at a node's own upstream.
type workSource interface {
	ByWork() bool
	ExpectedWait() time.Duration
	UpstreamTimeFactor() float64
	UpstreamSpeed() (speed float64, known bool)
	WorkEstimates() []cost.Estimate
}

// workCollector collects what a node knows of the work at its own upstream. Without scheduling by work it collects
// nothing.
type workCollector struct {
	source workSource
}

// Describe sends the descriptions of the metrics.
func (woc *workCollector) Describe(out chan<- *prometheus.Desc) {
	for _, dsc := range []*prometheus.Desc{callWorkDesc, expectedWaitDesc, speedDesc, slownessDesc} {
		out <- dsc
	}
}

// Collect sends the present values of the metrics.
func (woc *workCollector) Collect(out chan<- prometheus.Metric) {
	if !woc.source.ByWork() {
		return
	}
	gauge := func(dsc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(dsc, prometheus.GaugeValue, value, labels...)
	}
	gauge(expectedWaitDesc, woc.source.ExpectedWait().Seconds())
	gauge(slownessDesc, woc.source.UpstreamTimeFactor())
	if speed, known := woc.source.UpstreamSpeed(); known {
		gauge(speedDesc, speed)
	}
	estimates := woc.source.WorkEstimates()
	slices.SortFunc(estimates, func(one, two cost.Estimate) int { return cmp.Compare(two.Calls(), one.Calls()) })
	for _, est := range estimates[:min(len(estimates), maxWorkLabels)] {
		kin := est.Kind()
		gauge(callWorkDesc, est.Work().Seconds(), kin.Route(), kin.Method(), strconv.Itoa(kin.Size()))
	}
}
