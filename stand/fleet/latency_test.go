package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthline/stand/fleet"
)

// endpoint is a URL whose latency is measured, with the latencies of complete 200 answers and the failures by reason.
type endpoint struct {
	url string

	mut       sync.Mutex
	latencies []time.Duration
	failures  map[string]int
}

func (ept *endpoint) call(client *http.Client) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, ept.url, nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer verona-key")
	start := time.Now()
	res, err := client.Do(req)
	reason := "no answer"
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		reason = res.Status + " " + res.Header.Get("Amaranthline-Reason")
	}
	latency := time.Since(start)
	ept.mut.Lock()
	defer ept.mut.Unlock()
	if err != nil || res.StatusCode != http.StatusOK {
		ept.failures[reason]++
		return
	}
	ept.latencies = append(ept.latencies, latency)
}

func (ept *endpoint) quantile(quantile float64) time.Duration {
	slices.Sort(ept.latencies)
	return ept.latencies[int(quantile*float64(len(ept.latencies)-1))]
}

// BenchmarkAddedLatency reports the latency that an entry node and a serving node on different hosts add to a call,
// compared with the same call sent directly to the upstream. Both calls start together, so that both see the machine under
// the same load.
func BenchmarkAddedLatency(b *testing.B) {
	pla := plan()
	pla.Domains = pla.Domains[:1]
	for i := range pla.Services {
		pla.Services[i].ServiceTime = time.Millisecond
	}
	fix := startFleet(b, pla)
	entry, serving := fix.hostsOf("ordini")[0], fix.hostsOf("stampa")[0]
	for _, rate := range []int{100, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			direct := &endpoint{failures: map[string]int{}, url: strings.Replace(serving.Control(), ":8081", ":8080", 1) + "/drawings/1"}
			viaNodes := &endpoint{failures: map[string]int{}, url: entry.Ingress() + "/stampa/drawings/1"}
			measureLatency(fix, rate, b.N, direct, viaNodes, entry, serving, b)
		})
	}
}

func measureLatency(fix *fixture, rate, count int, direct, viaNodes *endpoint, entry, serving *fleet.Host, b *testing.B) {
	client := fleet.NewClient()
	defer client.CloseIdleConnections()
	var grp sync.WaitGroup
	usage := func(name string) float64 { return fix.metric(entry, name) + fix.metric(serving, name) }
	cpu, allocs := usage("process_cpu_seconds_total"), usage("go_memstats_mallocs_total")
	start := time.Now()
	for num := range count {
		time.Sleep(time.Until(start.Add(time.Duration(num) * time.Second / time.Duration(rate))))
		for _, ept := range []*endpoint{direct, viaNodes} {
			grp.Go(func() { ept.call(client) })
		}
	}
	grp.Wait()
	cpu, allocs = usage("process_cpu_seconds_total")-cpu, usage("go_memstats_mallocs_total")-allocs
	if len(viaNodes.latencies) == 0 || len(direct.latencies) == 0 {
		b.Fatal("no call through the nodes or none to the upstream was answered")
	}
	for _, qnt := range []struct {
		name     string
		quantile float64
	}{{"p50", .5}, {"p99", .99}} {
		directTime, viaTime := direct.quantile(qnt.quantile), viaNodes.quantile(qnt.quantile)
		b.ReportMetric(float64(directTime.Microseconds()), "direct-"+qnt.name+"-us")
		b.ReportMetric(float64((viaTime - directTime).Microseconds()), "added-"+qnt.name+"-us")
	}
	b.ReportMetric(float64(count)/cpu, "calls/core-s")
	b.ReportMetric(allocs/float64(count), "allocs/call")
	b.ReportMetric(1-float64(len(viaNodes.latencies))/float64(count), "failed-part")
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		b.Logf("rate %d, %d calls, not answered through the nodes %v, directly %v, load of the machine %s", rate, count, viaNodes.failures, direct.failures, text)
	}
}
