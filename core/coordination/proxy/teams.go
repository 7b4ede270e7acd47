package proxy

import (
	"time"

	"amaranthline/core/state/decl"
)

// minTeamWeight is the weight of a team whose declared rate is 0.
const minTeamWeight = 1e-6 // requests per second

// maxPartWait bounds the time until a team is within its part that a refused caller is told. Upstreams that refuse requests
// may name longer ones.
const maxPartWait = time.Second

// teamWeights returns the function by which the room of a class is divided among teams, or nil if it is not. A team's
// weight is its declared rate; a request without a team, or of one without a rate, counts like the average team.
func (prx *Proxy) teamWeights(sna *decl.Snapshot) func(team string) float64 {
	if !prx.byWork.Load() {
		return nil
	}
	total, count := 0.0, 0
	for _, tea := range sna.Teams() {
		if !tea.Unlimited() {
			total += tea.Rate()
			count++
		}
	}
	mean := 1.0
	if count > 0 {
		mean = max(total/float64(count), minTeamWeight)
	}
	return func(team string) float64 {
		if tea := sna.Team(team); tea != nil && !tea.Unlimited() {
			return max(tea.Rate(), minTeamWeight)
		}
		return mean
	}
}

// TrackedTeams returns how many teams have requests at the node's own upstream that count towards their parts, those of
// each class counted separately.
func (prx *Proxy) TrackedTeams() int { return prx.queue.teams() }

// PartRefusals returns how many calls the node has refused because their teams were above their parts.
func (prx *Proxy) PartRefusals() int { return int(prx.queue.partRefusals.Load()) }
