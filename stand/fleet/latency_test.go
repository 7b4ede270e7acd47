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

// target is a URL that is measured, with the times of whole answers and the reasons of the other ones.
type target struct {
	url string

	mut  sync.Mutex
	took []time.Duration
	bad  map[string]int
}

func (tar *target) call(client *http.Client) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, tar.url, nil)
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
	took := time.Since(start)
	tar.mut.Lock()
	defer tar.mut.Unlock()
	if err != nil || res.StatusCode != http.StatusOK {
		tar.bad[reason]++
		return
	}
	tar.took = append(tar.took, took)
}

func (tar *target) quantile(part float64) time.Duration {
	slices.Sort(tar.took)
	return tar.took[int(part*float64(len(tar.took)-1))]
}

// BenchmarkAddedLatency reports what an entry node and a serving node on different hosts add to a call, against the
// same call straight to the upstream in the same run. The two kinds of calls alternate, so that both see the machine
// under the same load.
func BenchmarkAddedLatency(b *testing.B) {
	pla := plan()
	pla.Domains = pla.Domains[:1]
	for i := range pla.Services {
		pla.Services[i].ServiceTime = time.Millisecond
	}
	fix := start(b, pla)
	entry, serving := fix.of("ordini")[0], fix.of("stampa")[0]
	for _, rate := range []int{100, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			straight := &target{bad: map[string]int{}, url: strings.Replace(serving.Control(), ":8081", ":8080", 1) + "/drawings/1"}
			through := &target{bad: map[string]int{}, url: entry.Ingress() + "/stampa/drawings/1"}
			measure(fix, rate, b.N, straight, through, entry, serving, b)
		})
	}
}

func measure(fix *fixture, rate, count int, straight, through *target, entry, serving *fleet.Host, b *testing.B) {
	client := fleet.NewClient()
	defer client.CloseIdleConnections()
	var grp sync.WaitGroup
	usage := func(name string) float64 { return fix.metric(entry, name) + fix.metric(serving, name) }
	cpu, allocs := usage("process_cpu_seconds_total"), usage("go_memstats_mallocs_total")
	begin := time.Now()
	for num := range count {
		time.Sleep(time.Until(begin.Add(time.Duration(num) * time.Second / time.Duration(rate))))
		for _, tar := range []*target{straight, through} {
			grp.Go(func() { tar.call(client) })
		}
	}
	grp.Wait()
	cpu, allocs = usage("process_cpu_seconds_total")-cpu, usage("go_memstats_mallocs_total")-allocs
	if len(through.took) == 0 || len(straight.took) == 0 {
		b.Fatal("no call was answered")
	}
	for _, qua := range []struct {
		name string
		part float64
	}{{"p50", .5}, {"p99", .99}} {
		one, two := straight.quantile(qua.part), through.quantile(qua.part)
		b.ReportMetric(float64(one.Microseconds()), "direct-"+qua.name+"-us")
		b.ReportMetric(float64((two - one).Microseconds()), "added-"+qua.name+"-us")
	}
	b.ReportMetric(float64(count)/cpu, "calls/core-s")
	b.ReportMetric(allocs/float64(count), "allocs/call")
	b.ReportMetric(1-float64(len(through.took))/float64(count), "failed-part")
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		b.Logf("rate %d, %d calls, refused %v, direct failed %v, load of the machine %s", rate, count, through.bad, straight.bad, text)
	}
}
