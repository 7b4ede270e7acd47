package proxy

import (
	"amaranthline/core/state/decl"
	"amaranthline/core/state/picker"
)

// pools are the candidates for each service in this host's order of preference, as one snapshot shows them.
type candidateLists map[string][]picker.Candidate

// newPools ranks the hosts of each service by rendezvous hashing: each host prefers others, and a change of the list
// moves few of them. Hosts that leave and those of failure domains that are out are no candidates.
func rankCandidates(set Settings, sna *decl.Snapshot) *candidateLists {
	cls := candidateLists{}
	hostsByService := map[string][]string{}
	for _, hos := range sna.Hosts().All() {
		if dom := sna.Domain(hos.Domain()); !hos.Leaving() && (dom == nil || !dom.OutOfService()) {
			hostsByService[hos.Service()] = append(hostsByService[hos.Service()], hos.ID())
		}
	}
	for service, hosts := range hostsByService {
		for _, id := range decl.RendezvousOrder(set.Host+"/"+service, hosts) {
			local := sna.Hosts().Host(id).Domain() == set.Domain
			cls[service] = append(cls[service], picker.NewCandidate(id, local))
		}
	}
	return &cls
}

// pools returns the candidates of a snapshot. A request that began with an older snapshot finds the newest one.
func (prx *Proxy) currentCandidates(sna *decl.Snapshot) *candidateLists {
	if cls := prx.candidates.Load(); cls != nil {
		return cls
	}
	cls := rankCandidates(prx.settings, sna)
	prx.candidates.CompareAndSwap(nil, cls)
	return cls
}

// Subset returns the hosts that this node sends calls to while all can be reached.
func (prx *Proxy) Subset() []string {
	cls := prx.candidates.Load()
	if cls == nil {
		return nil
	}
	var hosts []string
	for _, cans := range *cls {
		for _, can := range picker.Subset(cans) {
			if can.ID() != prx.settings.Host {
				hosts = append(hosts, can.ID())
			}
		}
	}
	return hosts
}
