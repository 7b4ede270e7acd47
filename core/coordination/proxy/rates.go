package proxy

import (
	"context"
	"fmt"
	"sync"
	"time"

	"amaranthline/core/state/decl"
	"amaranthline/core/state/rate"
	"amaranthline/io/protocol/wire"

	"google.golang.org/protobuf/proto"
)

const (
	reportInterval = 250 * time.Millisecond
	surgeInterval  = 50 * time.Millisecond // between reports while a team asks for far more than usual
	reportTimeout  = 500 * time.Millisecond
	// Small demands are reported less often: a team whose demand at this host is below an even part of its rate cannot
	// be near its rate because of this host.
	smallEvery = 4 // reports
	// rateGroups is how many hosts divide the teams' rates among them. With a host for each team, every node would
	// exchange reports and keep connections with nearly all others.
	rateGroups = 4
)

// Run keeps the parts of the teams' rates and the state of the own upstream until the context ends.
func (rel *Proxy) Run(ctx context.Context) error {
	var grp sync.WaitGroup
	defer grp.Wait()
	grp.Go(func() { rel.own.run(ctx) })
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var last time.Time // of a surge that was reported
	for count := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			rel.report(ctx, &grp, count%smallEvery == 0)
			count++
		case <-rel.surged:
			pause := time.NewTimer(surgeInterval - time.Since(last))
			select {
			case <-ctx.Done():
				return nil
			case <-pause.C:
			}
			rel.report(ctx, &grp, false)
			last = time.Now()
		}
	}
}

// report tells the hosts that divide the rates what this host was asked for.
func (rel *Proxy) report(ctx context.Context, grp *sync.WaitGroup, all bool) {
	sna := rel.set.Snapshot()
	if sna == nil {
		return
	}
	now := rel.clock.Now()
	hosts := rel.dividers(sna)
	reach := reachOf(hosts, sna)
	by := make([]string, rateGroups) // host that divides the rates of a group of teams
	for i := range by {
		by[i] = decl.RendezvousFirst(fmt.Sprintf("rate/%d", i), hosts)
	}
	messages := map[string]*wire.UsageReport{}
	for _, usa := range rel.meter.CollectUsage(now) {
		tea := sna.Team(usa.Team())
		if tea == nil || !all && usa.Demand() < tea.Rate()/float64(len(hosts)+1) {
			continue
		}
		host := by[decl.RateGroup(usa.Team(), rateGroups)]
		if host == rel.set.Host || host == "" {
			host = rel.set.Host
			rel.meter.SetShare(usa.Team(), rel.divider.Allocate(now, host, usa, reach*tea.Rate()))
			continue
		}
		if messages[host] == nil {
			messages[host] = &wire.UsageReport{}
		}
		messages[host].Teams = append(messages[host].Teams, &wire.TeamUsage{Team: usa.Team(), Demand: usa.Demand()})
	}
	for host, msg := range messages {
		grp.Go(func() { rel.exchange(ctx, host, msg) })
	}
}

// dividers returns the hosts that may divide rates: all that are listed, stay, and do not show as unreachable.
func (rel *Proxy) dividers(sna *decl.Snapshot) []string {
	var out []string
	for _, hos := range sna.Hosts().All() {
		pst := rel.set.Peers.State(hos.ID())
		if hos.Leaving() || hos.ID() != rel.set.Host && pst.Known() && (!pst.Up() || pst.Leaving()) {
			continue
		}
		out = append(out, hos.ID())
	}
	return out
}

// reachOf returns the share of the hosts that stay which can be reached. The sides of a partition divide a rate by it,
// so that they do not each admit the whole.
func reachOf(reached []string, sna *decl.Snapshot) float64 {
	all := 0
	for _, hos := range sna.Hosts().All() {
		if !hos.Leaving() {
			all++
		}
	}
	return float64(len(reached)) / float64(max(all, 1))
}

func (rel *Proxy) exchange(ctx context.Context, host string, msg *wire.UsageReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := rel.set.Peers.Exchange(ctx, host, msg)
	if err != nil {
		rel.set.EventLog.Note("rate report failed", "", map[string]any{"host": host, "error": err.Error()})
		return
	}
	parts, ok := reply.(*wire.UsageReply)
	if !ok {
		return
	}
	for _, par := range parts.GetParts() {
		rel.meter.SetShare(par.GetTeam(), par.GetRate())
	}
}

// HandleControl answers the usage reports of peers; it says false for other messages.
func (rel *Proxy) HandleControl(_ context.Context, host string, msg proto.Message) (proto.Message, bool, error) {
	req, ok := msg.(*wire.UsageReport)
	if !ok {
		return nil, false, nil
	}
	reply := &wire.UsageReply{}
	sna := rel.set.Snapshot()
	if sna == nil {
		return reply, true, nil
	}
	now := rel.clock.Now()
	reach := reachOf(rel.dividers(sna), sna)
	for _, usa := range req.GetTeams() {
		tea := sna.Team(usa.GetTeam())
		if tea == nil || tea.Unlimited() {
			continue
		}
		part := rel.divider.Allocate(now, host, rate.NewUsage(usa.GetTeam(), usa.GetDemand()), reach*tea.Rate())
		reply.Parts = append(reply.Parts, &wire.TeamPart{Team: usa.GetTeam(), Rate: part})
	}
	return reply, true, nil
}
