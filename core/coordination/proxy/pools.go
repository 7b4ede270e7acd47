package proxy

import (
	"amaranthline/core/state/decl"
	"amaranthline/core/state/picker"
)

// pools are the candidates for each service in this host's order of preference, as one snapshot shows them.
type pools map[string][]picker.Candidate

// newPools ranks the hosts of each service by rendezvous hashing: each host prefers others, and a change of the list
// moves few of them. Hosts that leave and those of failure domains that are out are no candidates.
func newPools(set Settings, sna *decl.Snapshot) *pools {
	poo := pools{}
	ids := map[string][]string{}
	for _, hos := range sna.Hosts().All() {
		if dom := sna.Domain(hos.Domain()); !hos.Leaving() && (dom == nil || !dom.OutOfService()) {
			ids[hos.Service()] = append(ids[hos.Service()], hos.ID())
		}
	}
	for service, list := range ids {
		for _, id := range decl.RendezvousOrder(set.Host+"/"+service, list) {
			local := sna.Hosts().Host(id).Domain() == set.Domain
			poo[service] = append(poo[service], picker.NewCandidate(id, local))
		}
	}
	return &poo
}

// pools returns the candidates of a snapshot. A request that began with an older snapshot finds the newest one.
func (rel *Proxy) pools(sna *decl.Snapshot) *pools {
	if poo := rel.ranked.Load(); poo != nil {
		return poo
	}
	poo := newPools(rel.set, sna)
	rel.ranked.CompareAndSwap(nil, poo)
	return poo
}

// Subset returns the hosts that this node sends calls to while all can be reached.
func (rel *Proxy) Subset() []string {
	poo := rel.ranked.Load()
	if poo == nil {
		return nil
	}
	var out []string
	for _, cans := range *poo {
		for _, can := range picker.Subset(cans) {
			if can.ID() != rel.set.Host {
				out = append(out, can.ID())
			}
		}
	}
	return out
}
