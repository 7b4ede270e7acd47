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
	reportInterval      = 250 * time.Millisecond
	surgeReportInterval = 50 * time.Millisecond // between reports while a team's demand is far above the usual
	reportTimeout       = 500 * time.Millisecond
	// ticksPerFullReport is the number of report intervals between reports that include small demands. A team whose
	// demand at this host is below an even share of its rate cannot be near its rate because of this host.
	ticksPerFullReport = 4
	// teamGroups is the number of groups of teams; one host allocates the rates of each group. With one host for each
	// team, every node would exchange reports and keep connections with nearly all others.
	teamGroups = 4
)

// Run keeps this host's shares of the teams' rates and the state of the node's own upstream up to date until ctx ends.
func (prx *Proxy) Run(ctx context.Context) error {
	var grp sync.WaitGroup
	defer grp.Wait()
	grp.Go(func() { prx.upstream.runHealthChecks(ctx) })
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var lastSurge time.Time // when a surge was reported last
	for ticks := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			prx.reportDemand(ctx, &grp, ticks%ticksPerFullReport == 0)
			ticks++
		case <-prx.demandSurged:
			timer := time.NewTimer(surgeReportInterval - time.Since(lastSurge))
			select {
			case <-ctx.Done():
				return nil
			case <-timer.C:
			}
			prx.reportDemand(ctx, &grp, false)
			lastSurge = time.Now()
		}
	}
}

// reportDemand sends each team's demand at this host to the host that allocates the team's rate. Without includeSmall it
// leaves out demands below an even share of the rate.
func (prx *Proxy) reportDemand(ctx context.Context, grp *sync.WaitGroup, includeSmall bool) {
	sna := prx.settings.Snapshot()
	if sna == nil {
		return
	}
	now := prx.clock.Now()
	hosts := prx.reachableHosts(sna)
	reachable := reachableFraction(hosts, sna)
	allocators := make([]string, teamGroups) // by group of teams, the host that allocates their rates
	for i := range allocators {
		allocators[i] = decl.RendezvousFirst(fmt.Sprintf("rate/%d", i), hosts)
	}
	reports := map[string]*wire.UsageReport{}
	for _, ted := range prx.limiter.CollectDemand(now) {
		tea := sna.Team(ted.Team())
		if tea == nil || !includeSmall && ted.Demand() < tea.Rate()/float64(len(hosts)+1) {
			continue
		}
		host := allocators[decl.RateGroup(ted.Team(), teamGroups)]
		if host == prx.settings.Host || host == "" {
			host = prx.settings.Host
			prx.limiter.SetShare(ted.Team(), prx.allocator.Allocate(now, host, ted, reachable*tea.Rate()))
			continue
		}
		if reports[host] == nil {
			reports[host] = &wire.UsageReport{}
		}
		reports[host].Teams = append(reports[host].Teams, &wire.TeamUsage{Team: ted.Team(), Demand: ted.Demand()})
	}
	for host, rep := range reports {
		grp.Go(func() { prx.sendReport(ctx, host, rep) })
	}
}

// reachableHosts returns the hosts that may allocate rates: all on the host list that are neither leaving nor known to
// be unreachable.
func (prx *Proxy) reachableHosts(sna *decl.Snapshot) []string {
	var hosts []string
	for _, hos := range sna.Hosts().All() {
		pst := prx.settings.Peers.State(hos.ID())
		if hos.Leaving() || hos.ID() != prx.settings.Host && pst.Known() && (!pst.Up() || pst.Leaving()) {
			continue
		}
		hosts = append(hosts, hos.ID())
	}
	return hosts
}

// reachableFraction returns the fraction of the hosts that can be reached, without those that are leaving. Each side of
// a partition multiplies the rates by it, so that the sides do not each admit the whole rate.
func reachableFraction(reachable []string, sna *decl.Snapshot) float64 {
	notLeaving := 0
	for _, hos := range sna.Hosts().All() {
		if !hos.Leaving() {
			notLeaving++
		}
	}
	return float64(len(reachable)) / float64(max(notLeaving, 1))
}

// sendReport sends a report to a host and applies the shares of the rates in its reply.
func (prx *Proxy) sendReport(ctx context.Context, host string, rep *wire.UsageReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := prx.settings.Peers.Exchange(ctx, host, rep)
	if err != nil {
		prx.settings.EventLog.Note("rate report failed", "", map[string]any{"host": host, "error": err.Error()})
		return
	}
	usageReply, ok := reply.(*wire.UsageReply)
	if !ok {
		return
	}
	for _, par := range usageReply.GetParts() {
		prx.limiter.SetShare(par.GetTeam(), par.GetRate())
	}
}

// HandleControl answers the usage reports of peers; it returns false for other messages.
func (prx *Proxy) HandleControl(_ context.Context, host string, msg proto.Message) (proto.Message, bool, error) {
	req, ok := msg.(*wire.UsageReport)
	if !ok {
		return nil, false, nil
	}
	reply := &wire.UsageReply{}
	sna := prx.settings.Snapshot()
	if sna == nil {
		return reply, true, nil
	}
	now := prx.clock.Now()
	reachable := reachableFraction(prx.reachableHosts(sna), sna)
	for _, usa := range req.GetTeams() {
		tea := sna.Team(usa.GetTeam())
		if tea == nil || tea.Unlimited() {
			continue
		}
		share := prx.allocator.Allocate(now, host, rate.NewTeamDemand(usa.GetTeam(), usa.GetDemand()), reachable*tea.Rate())
		reply.Parts = append(reply.Parts, &wire.TeamPart{Team: usa.GetTeam(), Rate: share})
	}
	return reply, true, nil
}
