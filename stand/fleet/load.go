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
	maxOutstanding = 4000 // requests in flight of one open load, so that a stalled fleet cannot exhaust the client
	tick           = 5 * time.Millisecond
)

// OpenLoad is a flow of equal requests at a fixed rate, whether or not answers arrive.
type OpenLoad struct {
	Name    string
	Team    Team
	Method  string
	Path    string // with the service as first segment
	Rate    float64
	Retries int // further sends of a refused or failed request, at once
	Hosts   []*Host
}

// LoadResult counts what came of an open load.
type LoadResult struct {
	mut      sync.Mutex
	sent     int
	answered int
	reasons  map[string]int
	failed   int
	took     []time.Duration
}

// Sent returns the number of requests, without their repeats.
func (tal *LoadResult) Sent() int { return tal.sent }

// Answered returns the number of requests with a whole 2xx answer.
func (tal *LoadResult) Answered() int { return tal.answered }

// Failed returns the number of requests whose connection broke or whose answer was cut.
func (tal *LoadResult) Failed() int { return tal.failed }

// Reasons returns the number of refusals by reason.
func (tal *LoadResult) Reasons() map[string]int { return tal.reasons }

// AnsweredRatio returns the answered part of the requests.
func (tal *LoadResult) AnsweredRatio() float64 {
	if tal.sent == 0 {
		return 0
	}
	return float64(tal.answered) / float64(tal.sent)
}

// Quantile returns a quantile of the time to a whole answer.
func (tal *LoadResult) Quantile(quantile float64) time.Duration {
	if len(tal.took) == 0 {
		return 0
	}
	slices.Sort(tal.took)
	return tal.took[min(int(quantile*float64(len(tal.took))), len(tal.took)-1)]
}

// NewClient returns an HTTP client for many connections to a few hosts.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 0, IdleConnTimeout: 30 * time.Second}}
}

// Run sends an open load until its context ends and returns the result once all answers are in.
func (str OpenLoad) Run(ctx context.Context, client *http.Client) *LoadResult {
	tal := &LoadResult{reasons: map[string]int{}}
	var grp sync.WaitGroup
	places := make(chan struct{}, maxOutstanding)
	start, next := time.Now(), 0
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for due := int(time.Since(start).Seconds() * str.Rate); next < due; next++ {
			tal.sent++
			places <- struct{}{}
			grp.Go(func() {
				defer func() { <-places }()
				str.send(client, tal)
			})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	grp.Wait()
	return tal
}

func (str OpenLoad) send(client *http.Client, tal *LoadResult) {
	for try := 0; ; try++ {
		start := time.Now()
		status, reason, err := str.once(client)
		good := err == nil && status < http.StatusMultipleChoices
		if !good && try < str.Retries {
			continue
		}
		tal.mut.Lock()
		defer tal.mut.Unlock()
		switch {
		case good:
			tal.answered++
			tal.took = append(tal.took, time.Since(start))
		case err != nil:
			tal.failed++
		default:
			tal.reasons[reason]++
		}
		return
	}
}

func (str OpenLoad) once(client *http.Client) (status int, reason string, err error) {
	hos := str.Hosts[rand.IntN(len(str.Hosts))] //nolint:gosec // spreads load
	req, err := http.NewRequestWithContext(context.Background(), str.Method, hos.Ingress()+str.Path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+str.Team.Key())
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
