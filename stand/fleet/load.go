package fleet

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	maxInFlight  = 4000 // requests of one open load, so that a stalled fleet cannot exhaust the client
	tickInterval = 5 * time.Millisecond
)

// OpenLoad sends equal requests at a fixed rate, whether or not answers arrive.
type OpenLoad struct {
	Label   string // shown in the report
	Team    Team
	Method  string
	Path    string  // with the service as first segment
	Rate    float64 // requests/s, without retries
	Retries int     // retries per request that is refused or fails, without a pause
	Hosts   []*Host // whose nodes get the requests, chosen at random for each attempt
}

// LoadResult counts the results of an open load.
type LoadResult struct {
	mut       sync.Mutex
	sent      int
	answered  int
	reasons   map[string]int
	failed    int
	latencies []time.Duration
}

// Sent returns the number of requests, without retries.
func (res *LoadResult) Sent() int { return res.sent }

// Answered returns the number of requests with a complete 2xx answer.
func (res *LoadResult) Answered() int { return res.answered }

// Failed returns the number of requests without a complete answer in the last attempt.
func (res *LoadResult) Failed() int { return res.failed }

// Reasons returns the number of requests whose last answer was not 2xx, by the reason header of the answer, or by the
// status if the answer has no reason header.
func (res *LoadResult) Reasons() map[string]int { return res.reasons }

// AnsweredRatio returns the answered requests divided by the sent ones, or 0 if none was sent.
func (res *LoadResult) AnsweredRatio() float64 {
	if res.sent == 0 {
		return 0
	}
	return float64(res.answered) / float64(res.sent)
}

// Quantile returns a quantile of the time from the last attempt to its complete 2xx answer, or 0 if there was none.
func (res *LoadResult) Quantile(quantile float64) time.Duration {
	if len(res.latencies) == 0 {
		return 0
	}
	slices.Sort(res.latencies)
	return res.latencies[min(int(quantile*float64(len(res.latencies))), len(res.latencies)-1)]
}

// NewClient returns an HTTP client for many connections to a few hosts.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 0, IdleConnTimeout: 30 * time.Second}}
}

// Run sends the load until the context ends and returns the result once all requests have ended.
func (loa OpenLoad) Run(ctx context.Context, client *http.Client) *LoadResult {
	res := &LoadResult{reasons: map[string]int{}}
	var grp sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	start, next := time.Now(), 0
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for due := int(time.Since(start).Seconds() * loa.Rate); next < due; next++ {
			res.sent++
			inFlight <- struct{}{}
			grp.Go(func() {
				defer func() { <-inFlight }()
				loa.send(client, res)
			})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	grp.Wait()
	return res
}

func (loa OpenLoad) send(client *http.Client, res *LoadResult) {
	for attempt := 0; ; attempt++ {
		start := time.Now()
		status, reason, err := loa.sendOnce(client)
		answered := err == nil && status < http.StatusMultipleChoices
		if !answered && attempt < loa.Retries {
			continue
		}
		res.mut.Lock()
		defer res.mut.Unlock()
		switch {
		case answered:
			res.answered++
			res.latencies = append(res.latencies, time.Since(start))
		case err != nil:
			res.failed++
		default:
			res.reasons[reason]++
		}
		return
	}
}

func (loa OpenLoad) sendOnce(client *http.Client) (status int, reason string, err error) {
	hos := loa.Hosts[rand.IntN(len(loa.Hosts))] //nolint:gosec // spreads load
	req, err := http.NewRequestWithContext(context.Background(), loa.Method, hos.Ingress()+loa.Path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+loa.Team.Key())
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	reason = res.Header.Get("Amaranthline-Reason")
	if reason == "" {
		reason = res.Status
	}
	return res.StatusCode, reason, err
}
