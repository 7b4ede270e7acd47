package proxy

import (
	"amaranthline/core/state/decl"
	"amaranthline/core/state/picker"
)

// candidateLists holds the candidates of each service in this host's order of preference, as of one snapshot.
type candidateLists map[string][]picker.Candidate

// rankCandidates ranks the hosts of each service by rendezvous hashing, so that each host prefers different ones and a
// change of the host list moves few of them. Hosts that are leaving and hosts of failure domains that are out of
// service are not candidates.
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

// currentCandidates returns the candidates of the newest snapshot, which may be newer than that of the request. It
// ranks those of sna if SetSnapshot has not been called yet.
func (prx *Proxy) currentCandidates(sna *decl.Snapshot) *candidateLists {
	if cls := prx.candidates.Load(); cls != nil {
		return cls
	}
	cls := rankCandidates(prx.settings, sna)
	prx.candidates.CompareAndSwap(nil, cls)
	return cls
}

// PreferredPeers returns the other hosts that this node sends calls to while all can be reached.
func (prx *Proxy) PreferredPeers() []string {
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
