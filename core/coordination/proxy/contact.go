package proxy

import "amaranthline/core/state/decl"

// A failure domain is impaired once one in impairedRatio of the known connections to it is down. Connections that are
// rarely used show only after seconds that nothing passes.
const impairedRatio = 4

// peersByDomain counts, by failure domain, the connections to other hosts that are up and those that are down.
func (prx *Proxy) peersByDomain(sna *decl.Snapshot) (up, down map[string]int) {
	up, down = map[string]int{}, map[string]int{}
	for _, host := range prx.connectedHosts() {
		hos := sna.Hosts().Host(host)
		pst := prx.settings.Peers.State(host)
		switch {
		case hos == nil || !pst.Known():
		case pst.Up():
			up[hos.Domain()]++
		default:
			down[hos.Domain()]++
		}
	}
	return up, down
}

// inContact reports whether at least as many connections to other hosts are up as are down.
func inContact(up, down map[string]int) bool {
	balance := 0
	for _, count := range up {
		balance += count
	}
	for _, count := range down {
		balance -= count
	}
	return balance >= 0
}

// mayMissConfiguration reports whether changes of the configuration may not reach this node in time: it holds no recent
// one, or the connections to most other failure domains are impaired, as when its own one is cut off.
func (prx *Proxy) mayMissConfiguration(up, down map[string]int) bool {
	if stale := prx.settings.ConfigurationStale; stale != nil && stale() {
		return true
	}
	impaired, intact := 0, 0
	for domain, count := range down {
		switch {
		case domain == prx.settings.Domain:
		case impairedRatio*count >= count+up[domain]:
			impaired++
		default:
			intact++
		}
	}
	for domain := range up {
		if domain != prx.settings.Domain && down[domain] == 0 {
			intact++
		}
	}
	return impaired > intact
}
