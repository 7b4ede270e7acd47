package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"amaranthline/stand/fleet"
)

const (
	confirmRate  = 40   // requests/s of class confirm
	readRate     = 100  // requests/s of each team's reads outside the surge
	surgeRate    = 1500 // requests/s of the surging team's reads, without retries
	surgeRetries = 2    // per request of the surge, without a pause
	warmUpTime   = 3 * time.Second
)

// Plan describes a fleet of three services in three failure domains; ordini sends nested calls to stampa, and stampa to
// varchi. varchi has the least capacity: 3 upstreams x 10 slots / 50 ms = 600 requests/s.
func Plan() fleet.Plan {
	read := func(path string) fleet.Route {
		return fleet.Route{Method: http.MethodGet, Path: path, Class: "read", Idempotent: true}
	}
	confirm := fleet.Route{Method: http.MethodPost, Path: "/confirm", Class: "confirm"}
	return fleet.Plan{
		Domains: []string{"nord-a", "nord-b", "nord-c"},
		Classes: []fleet.Class{
			{Name: "confirm", TargetRatio: 0.9999, TargetLatency: 2 * time.Second},
			{Name: "read", TargetRatio: 0.99, TargetLatency: time.Second},
		},
		Services: []fleet.Service{
			{
				Name: "ordini", Slots: 100, Connections: 400, ServiceTime: 2 * time.Millisecond,
				Routes: []fleet.Route{read("/status"), confirm}, NestedCalls: []string{"GET /stampa/job"},
			},
			{
				Name: "stampa", Slots: 100, Connections: 400, ServiceTime: 2 * time.Millisecond,
				Routes: []fleet.Route{read("/job")}, NestedCalls: []string{"GET /varchi/gate"},
			},
			{
				Name: "varchi", Slots: 10, Connections: 100, ServiceTime: 50 * time.Millisecond,
				Routes: []fleet.Route{read("/gate")},
			},
		},
		Teams: []fleet.Team{
			{Name: "verona", Rate: 400, Burst: 400},
			{Name: "torino", Rate: 4000, Burst: 4000},
		},
	}
}

// phase is a part of the demonstration with the loads that are sent in it.
type phase struct {
	name  string
	loads []fleet.OpenLoad
}

func phases(plan fleet.Plan, hosts []*fleet.Host) []phase {
	verona, torino := plan.Teams[0], plan.Teams[1]
	steady := []fleet.OpenLoad{
		{Label: "confirm (verona)", Team: verona, Method: http.MethodPost, Path: "/ordini/confirm", Rate: confirmRate, Hosts: hosts},
		{Label: "read (verona)", Team: verona, Method: http.MethodGet, Path: "/ordini/status", Rate: readRate, Hosts: hosts},
	}
	normal := fleet.OpenLoad{Label: "read (torino)", Team: torino, Method: http.MethodGet, Path: "/ordini/status", Rate: readRate, Hosts: hosts}
	surge := normal
	surge.Rate, surge.Retries = surgeRate, surgeRetries
	return []phase{
		{"before", append([]fleet.OpenLoad{normal}, steady...)},
		{"surge", append([]fleet.OpenLoad{surge}, steady...)},
		{"after", append([]fleet.OpenLoad{normal}, steady...)},
	}
}

// Run starts a fleet whose processes run the current executable, sends it the loads of three phases of the given length,
// and prints a table.
func Run(ctx context.Context, out io.Writer, length time.Duration) error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	plan := Plan()
	fmt.Fprintln(out, "starting 9 nodes and 9 upstreams on loopback")
	fle, err := fleet.Start(ctx, binary, plan, os.Stderr)
	if err != nil {
		return err
	}
	defer fle.Close()
	client := fleet.NewClient()
	runPhase(ctx, client, phases(plan, fle.Hosts())[0], warmUpTime)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "phase\tload\tsent\tanswered\tratio\tp50 ms\tp99 ms\tnot answered")
	for _, pha := range phases(plan, fle.Hosts()) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		for i, res := range runPhase(ctx, client, pha, length) {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.3f\t%.1f\t%.1f\t%s\n", pha.name, pha.loads[i].Label, res.Sent(), res.Answered(),
				res.AnsweredRatio(), milliseconds(res.Quantile(.5)), milliseconds(res.Quantile(.99)), notAnswered(res))
		}
	}
	return table.Flush()
}

func milliseconds(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

func notAnswered(res *fleet.LoadResult) string {
	text := ""
	for reason, count := range res.Reasons() {
		text += fmt.Sprintf("%s=%d ", reason, count)
	}
	if res.Failed() > 0 {
		text += fmt.Sprintf("failed=%d", res.Failed())
	}
	return text
}

func runPhase(ctx context.Context, client *http.Client, pha phase, length time.Duration) []*fleet.LoadResult {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	results := make([]*fleet.LoadResult, len(pha.loads))
	var grp sync.WaitGroup
	for i, loa := range pha.loads {
		grp.Go(func() { results[i] = loa.Run(ctx, client) })
	}
	grp.Wait()
	return results
}
