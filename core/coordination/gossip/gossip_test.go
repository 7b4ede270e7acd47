package gossip_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gossip"
	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
)

const (
	fleetSize       = 200
	fleetDomains    = 9
	designFleetSize = 1900 // nodes that the system is designed for
	// A published version must be in force on every node within this time.
	maxPropagation   = 3 * time.Second
	platformCapacity = 2000 // calls per second that the platform answers for the whole fleet
)

// runFleet runs a test with a fleet in virtual time.
func runFleet(t *testing.T, size, domains int, run func(t *testing.T, fle *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fle := newFleet(size, domains)
		defer fle.stopAll()
		run(t, fle)
	})
}

// hashSelects reports whether the hash of a set of names selects it. It selects about the given fraction of all sets, and
// always the same ones.
func hashSelects(fraction float64, names ...string) bool {
	slices.Sort(names)
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(strings.Join(names, "/")))
	return float64(sum.Sum32()%1000) < 1000*fraction
}

// Guards against nodes that learn of a published version later than 3 s because links lose messages, or because some of
// their peers are paused and never reply.
func TestVersionIsInForceEverywhere(t *testing.T) {
	lossy := func() func(string, string) bool {
		rng := rand.New(rand.NewPCG(3, 4))
		return func(string, string) bool {
			return rng.Float64() < 0.2
		}
	}
	paused := func(id string) bool { return hashSelects(0.1, "paused", id) }
	tests := []struct {
		name    string
		blocked func(from, to string) bool
		skip    func(id string) bool
		maxLate int // nodes that may need up to 10 s
	}{
		{"healthy", func(string, string) bool { return false }, nil, 0},
		{"20% of links silent", func(from, to string) bool { return hashSelects(0.2, from, to) }, nil, 0},
		{"20% of messages lost on all links", lossy(), nil, fleetSize / 100},
		{"10% of nodes paused", func(from, to string) bool { return paused(from) || paused(to) }, paused, 0},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			runFleet(t, fleetSize, fleetDomains, func(t *testing.T, fle *fleet) {
				fle.start(fle.ids...)
				advance(10 * time.Second)
				fle.setFaults(func() {
					fle.linkBlocked = tst.blocked
					if tst.skip != nil {
						fle.hostBlocked = tst.skip
					}
				})
				var all []time.Duration
				for ver := uint64(2); ver <= 6; ver++ {
					since := time.Now()
					fle.publish(declarations(ver, fleetDomains))
					advance(maxPropagation)
					name := fmt.Sprint("declarations ", ver)
					if _, missing := fle.propagationDelays(name, since, tst.skip); missing > tst.maxLate {
						t.Errorf("version %d: %d nodes have not put it in force after %v", ver, missing, maxPropagation)
					}
					advance(7*time.Second + time.Duration(ver)*130*time.Millisecond)
					delays, missing := fle.propagationDelays(name, since, tst.skip)
					if missing > 0 {
						t.Errorf("version %d: %d nodes have not put it in force after 10 s", ver, missing)
					}
					all = append(all, delays...)
				}
				slices.Sort(all)
				t.Logf("propagation delays of %d nodes x versions: p50 %v, p99 %v, max %v", len(all), all[len(all)/2], all[len(all)*99/100], all[len(all)-1])
			})
		})
	}
}

// Guards against a thundering herd at the platform, which answers 2,000 calls per second for all readers: when all nodes
// start simultaneously, and during and after an outage.
func TestPlatformCallsStayBounded(t *testing.T) {
	t.Parallel()
	runFleet(t, fleetSize, fleetDomains, func(t *testing.T, fle *fleet) {
		measure := func(name string, period time.Duration) {
			since := time.Now()
			advance(period)
			peak, mean := fle.callRates(since, 1)
			// The number of watchers depends only on the number of domains; calls of other nodes grow with the fleet.
			scaledPeak, scaledMean := fle.callRates(since, float64(designFleetSize)/fleetSize)
			t.Logf("platform calls, %s: peak %.0f/s, mean %.1f/s; scaled to %d nodes peak %.0f/s, mean %.1f/s", name, peak, mean, designFleetSize, scaledPeak, scaledMean)
			if scaledPeak > platformCapacity/2 {
				t.Errorf("%s: %.0f platform calls in one second, scaled to %d nodes; want at most half of the %d that the platform answers", name, scaledPeak, designFleetSize, platformCapacity)
			}
		}
		fle.start(fle.ids...)
		measure("start of all nodes at once", 10*time.Second)
		measure("idle", time.Minute)
		fle.setDown(true)
		measure("outage", 5*time.Minute)
		fle.publish(declarations(2, fleetDomains))
		fle.setDown(false)
		measure("after the outage", 30*time.Second)
		want := map[string]int{"2 1": fleetSize}
		if diff := cmp.Diff(want, fle.countVersions()); diff != "" {
			t.Errorf("nodes by versions of declarations and host list after the outage (-want +got):\n%s", diff)
		}
		advance(10 * time.Second)
		if got := len(fle.watchers("")); got != fleetDomains {
			t.Errorf("%d watchers, want %d", got, fleetDomains)
		}
	})
}

// Guards against platform calls that grow with twice the number of failure domains, and against a domain that learns
// nothing of a change because it is cut off together with its only watcher, which cannot reach the platform.
func TestOneWatcherInEachOfManyDomains(t *testing.T) {
	t.Parallel()
	runFleet(t, 40, 5, func(t *testing.T, fle *fleet) {
		fle.start(fle.ids...)
		advance(10 * time.Second)
		watchers := fle.watchers("domain-1")
		if len(watchers) != 1 || len(fle.watchers("")) != 5 {
			t.Fatalf("%d watchers, %v of them in one domain, want 5 and 1", len(fle.watchers("")), watchers)
		}
		inside := func(id string) bool { return fle.domainOf(id) == "domain-1" }
		fle.setFaults(func() {
			fle.linkBlocked = func(from, to string) bool { return inside(from) != inside(to) }
			fle.hostBlocked = func(id string) bool { return id == watchers[0] }
		})
		advance(10 * time.Second)
		since := time.Now()
		fle.publish(declarations(2, 5))
		advance(maxPropagation)
		if delays, missing := fle.propagationDelays("declarations 2", since, nil); missing > 0 {
			t.Errorf("%d nodes have not put the version in force after %v, the others after %v", missing, maxPropagation, delays)
		}
		fle.setFaults(func() {
			fle.linkBlocked = func(string, string) bool { return false }
			fle.hostBlocked = func(string) bool { return false }
		})
		advance(20 * time.Second)
		if got := len(fle.watchers("")); got != 5 {
			t.Errorf("%d watchers after the partition, want 5", got)
		}
	})
}

// Guards against nodes that revert to a lower version, miss a version or overload the platform when the platform, the
// network or other nodes fail. Each case names the versions that the nodes must hold at its end.
func TestFaults(t *testing.T) {
	invalid := core.NewDocument(core.DocumentDeclarations, 2, []byte(`{"version": 2}`))
	tests := []struct {
		name string
		run  func(t *testing.T, fle *fleet)
		want map[string]int
	}{
		{"a stale replica never reverts a version", func(_ *testing.T, fle *fleet) {
			old := map[string]core.Document{core.DocumentDeclarations: declarations(1, 3), core.DocumentHosts: fle.hostList(1)}
			fle.publish(declarations(2, 3))
			advance(maxPropagation)
			fle.setFaults(func() { fle.replicaDocs = func(string) map[string]core.Document { return old } })
			fle.node("h0004").stop()
			fle.startWithSeeds("h0004", "h0005")
			advance(time.Minute)
		}, map[string]int{"2 1": 30}},
		{"a flapping platform", func(t *testing.T, fle *fleet) {
			since := time.Now()
			for ver := uint64(2); ver < 22; ver++ {
				fle.setDown(true)
				advance(700 * time.Millisecond)
				fle.publish(declarations(ver, 3))
				fle.setDown(false)
				advance(900 * time.Millisecond)
			}
			advance(5 * time.Second)
			if peak, _ := fle.callRates(since, 1); peak > 100 {
				t.Errorf("%.0f platform calls in one second, want at most 100", peak)
			}
		}, map[string]int{"21 1": 30}},
		{"a node restarted during an outage learns from peers", func(t *testing.T, fle *fleet) {
			fle.publish(declarations(2, 3))
			advance(maxPropagation)
			fle.setDown(true)
			fle.node("h0007").stop()
			advance(10 * time.Second)
			fle.startWithSeeds("h0007", "h0001")
			advance(time.Second)
			if snap := fle.node("h0007").syncer.Snapshot(); snap == nil || snap.Version() != 2 {
				t.Error("the node has no configuration a second after its restart")
			}
		}, map[string]int{"2 1": 30}},
		{"a node restarted without seeds during an outage learns from peers that contact it", func(t *testing.T, fle *fleet) {
			fle.publish(declarations(2, 3))
			advance(maxPropagation)
			fle.setDown(true)
			fle.node("h0007").stop()
			advance(10 * time.Second)
			fle.start("h0007")
			advance(maxPropagation)
			if snap := fle.node("h0007").syncer.Snapshot(); snap == nil || snap.Version() != 2 {
				t.Error("the node has no configuration 3 s after its restart")
			}
		}, map[string]int{"2 1": 30}},
		{"a node restarted beside a stale peer and a stale replica learns the newest version", func(t *testing.T, fle *fleet) {
			old := map[string]core.Document{core.DocumentDeclarations: declarations(1, 3), core.DocumentHosts: fle.hostList(1)}
			stale := func(id string) bool { return id == "h0005" }
			fle.setFaults(func() {
				fle.linkBlocked = func(from, to string) bool { return stale(from) || stale(to) }
				fle.hostBlocked = stale
			})
			fle.publish(declarations(2, 3)) // withdraws a key
			advance(maxPropagation)
			fle.node("h0004").stop()
			fle.setFaults(func() {
				fle.linkBlocked = func(string, string) bool { return false }
				fle.replicaDocs = func(host string) map[string]core.Document {
					if host == "h0004" || stale(host) {
						return old
					}
					return nil
				}
			})
			fle.startWithSeeds("h0004", "h0005")
			advance(maxPropagation)
			if snap := fle.node("h0004").syncer.Snapshot(); snap == nil || snap.Version() != 2 {
				t.Error("3 s after its restart the node uses a version that it had replaced before")
			}
		}, map[string]int{"2 1": 30}},
		{"an invalid version is refused with its reason", func(t *testing.T, fle *fleet) {
			fle.publish(invalid)
			advance(5 * time.Second)
			since := time.Now()
			advance(time.Minute)
			if _, mean := fle.callRates(since, 1); mean > 20 {
				t.Errorf("watchers make %.1f platform calls/s while the platform holds a refused document, want at most 20", mean)
			}
			for _, id := range fle.watchers("") {
				sta := fle.node(id).syncer.Status()
				if len(sta.Refused) != 1 || !strings.Contains(sta.Refused[0].Reason, "is missing") {
					t.Errorf("watcher %s reports the refused documents %+v, want one with its reason", id, sta.Refused)
				}
			}
		}, map[string]int{"1 1": 30}},
		{"a corrected version follows an invalid one", func(_ *testing.T, fle *fleet) {
			fle.publish(invalid)
			advance(20 * time.Second)
			fle.publish(declarations(3, 3))
			advance(maxPropagation)
		}, map[string]int{"3 1": 30}},
		{"a corrected document under a lower number follows an invalid one", func(_ *testing.T, fle *fleet) {
			fle.publish(core.NewDocument(core.DocumentDeclarations, 90, []byte(`{}`)))
			advance(20 * time.Second)
			fle.publish(declarations(2, 3))
			advance(15 * time.Second)
		}, map[string]int{"2 1": 30}},
		{"a partitioned domain keeps its version and adopts the highest one after the partition", func(t *testing.T, fle *fleet) {
			partitioned := func(id string) bool { return fle.domainOf(id) == "domain-1" }
			fle.setFaults(func() {
				fle.linkBlocked = func(from, to string) bool { return partitioned(from) != partitioned(to) }
				fle.hostBlocked = partitioned
			})
			advance(time.Second)
			fle.publish(declarations(2, 3))
			advance(2 * time.Minute)
			if diff := cmp.Diff(map[string]int{"1 1": 10, "2 1": 20}, fle.countVersions()); diff != "" {
				t.Errorf("nodes by versions of declarations and host list during the partition (-want +got):\n%s", diff)
			}
			fle.setFaults(func() { fle.linkBlocked = func(string, string) bool { return false } })
			advance(maxPropagation)
		}, map[string]int{"2 1": 30}},
		{"stopped and silent watchers are replaced", func(t *testing.T, fle *fleet) {
			watchers := fle.watchers("domain-0")
			fle.node(watchers[0]).stop()
			silent := func(id string) bool { return id == watchers[1] }
			fle.setFaults(func() { fle.linkBlocked = func(from, to string) bool { return silent(from) || silent(to) } })
			advance(4 * time.Second)
			replacements := slices.DeleteFunc(fle.watchers("domain-0"), silent)
			if len(replacements) != 2 {
				t.Errorf("4 s after the watchers %[2]v failed the domain has the watchers %[1]v besides them, want 2", replacements, watchers)
			}
			fle.setFaults(func() { fle.linkBlocked = func(string, string) bool { return false } })
			fle.start(watchers[0])
			advance(30 * time.Second)
			if diff := cmp.Diff(watchers, fle.watchers("domain-0")); diff != "" {
				t.Errorf("watchers after the failed ones returned (-want +got):\n%s", diff)
			}
		}, map[string]int{"1 1": 30}},
		{"of two documents with the same number the one with the higher digest stays", func(t *testing.T, fle *fleet) {
			one, two := declarations(2, 3), declarations(2, 4)
			fle.setFaults(func() {
				fle.replicaDocs = func(host string) map[string]core.Document {
					if fle.domainOf(host) != "domain-2" {
						return nil
					}
					return map[string]core.Document{core.DocumentDeclarations: two, core.DocumentHosts: fle.hostList(1)}
				}
			})
			fle.publish(one)
			advance(maxPropagation)
			want := gossip.NewVersion(one)
			if gossip.NewVersion(two).NewerThan(want) {
				want = gossip.NewVersion(two)
			}
			for _, nod := range fle.runningNodes() {
				if got := nod.syncer.Status().Held[1].Digest; got != want.Digest().String() {
					t.Errorf("%s holds digest %s, want %s", nod.id, got, want.Digest())
				}
			}
		}, map[string]int{"2 1": 30}},
		{"all connections of watchers go silent as a version is published", func(_ *testing.T, fle *fleet) {
			fle.setFaults(func() { fle.silentBefore = time.Now() })
			fle.publish(declarations(2, 3))
			advance(4 * time.Second)
		}, map[string]int{"2 1": 30}},
		{"an empty host list does not make every node a watcher", func(t *testing.T, fle *fleet) {
			fle.publish(core.NewDocument(core.DocumentHosts, 2, []byte(`{"version": 2, "hosts": []}`)))
			advance(maxPropagation)
			if got := len(fle.watchers("")); got != 6 {
				t.Errorf("%d watchers, want 6", got)
			}
		}, map[string]int{"1 2": 30}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			runFleet(t, 30, 3, func(t *testing.T, fle *fleet) {
				fle.start(fle.ids...)
				advance(10 * time.Second)
				tst.run(t, fle)
				if diff := cmp.Diff(tst.want, fle.countVersions()); diff != "" {
					t.Errorf("nodes by versions of declarations and host list (-want +got):\n%s", diff)
				}
				for _, nod := range fle.runningNodes() {
					if nod.reverted {
						t.Errorf("%s went back to a lower version", nod.id)
					}
				}
			})
		})
	}
}

// Guards against gossip that uses more than a node's whole budget for control messages, 28 KB/s, while nothing changes.
// Traffic grows with the host list; larger sizes take long and run only when AMARANTHLINE_CAPACITY is set.
func TestControlTraffic(t *testing.T) {
	sizes := []int{100}
	if os.Getenv("AMARANTHLINE_CAPACITY") != "" {
		sizes = append(sizes, 500, designFleetSize)
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, fleetDomains, func(t *testing.T, fle *fleet) {
				for i, id := range fle.ids { // host names that compress as badly as generated ones
					fle.ids[i] = fmt.Sprintf("host-%016x", decl.RendezvousScore("name", id))
				}
				fle.publish(fle.hostList(1))
				since := time.Now()
				fle.start(fle.ids...)
				advance(10 * time.Second)
				peak, _ := fle.callRates(since, 1)
				atRest := fle.measureTraffic(func() { advance(20 * time.Second) })
				duringChange := fle.measureTraffic(func() {
					fle.publish(fle.hostList(2))
					advance(20 * time.Second)
				})
				sta := fle.runningNodes()[0].syncer.Status()
				t.Logf("idle: mean %.0f B/s and %.2f messages/s per node, highest %.0f B/s", atRest.bytes/20, atRest.messages/20, atRest.maxBytes/20)
				t.Logf("added by one change of the host list: mean %.0f B and %.1f messages per node, %.0f B at the highest node", duringChange.bytes-atRest.bytes,
					duringChange.messages-atRest.messages, duringChange.maxBytes-atRest.maxBytes)
				t.Logf("host list: %d B, compressed %d B; start of all nodes at once: at most %.0f platform calls/s",
					sta.Held[0].Bytes, sta.Held[0].PackedBytes, peak)
				oldest := time.Duration(0)
				for _, nod := range fle.runningNodes() {
					sta := nod.syncer.Status()
					oldest = max(oldest, sta.FreshAge)
					if sta.FallbackReads > 0 {
						t.Errorf("%s made a fallback read although the watchers were running", nod.id)
					}
				}
				t.Logf("highest age of the newest known direct read: %v", oldest)
				if got := atRest.maxBytes / 20; got > 28_000 {
					t.Errorf("an idle node uses %.0f B/s, want at most 28 KB/s", got)
				}
			})
		})
	}
}

type traffic struct{ bytes, messages, maxBytes float64 }

// measureTraffic returns the bytes and messages sent and received while work runs: the means over all nodes, and the bytes
// of the node with the most.
func (fle *fleet) measureTraffic(work func()) (tra traffic) {
	before := map[string]gossip.Status{}
	for _, nod := range fle.runningNodes() {
		before[nod.id] = nod.syncer.Status()
	}
	work()
	for _, nod := range fle.runningNodes() {
		sta, old := nod.syncer.Status(), before[nod.id]
		bytes := float64(sta.BytesIn + sta.BytesOut - old.BytesIn - old.BytesOut)
		tra.bytes += bytes / float64(len(fle.ids))
		tra.messages += float64(sta.MessagesIn+sta.MessagesOut-old.MessagesIn-old.MessagesOut) / float64(len(fle.ids))
		tra.maxBytes = max(tra.maxBytes, bytes)
	}
	return tra
}

// Guards against nodes that are not on the host list learning of a change much later than others. They are no node's
// neighbours, so no offers reach them, but they serve callers: with one exchange per second, such a node kept sending
// calls to an upstream that had left.
func TestUnlistedNodesLearnSoon(t *testing.T) {
	t.Parallel()
	runFleet(t, 20, 3, func(t *testing.T, fle *fleet) {
		const bound = 500 * time.Millisecond
		unlisted := []string{"h0017", "h0018", "h0019"}
		fle.start(fle.ids...)
		advance(10 * time.Second)
		fle.publish(withoutHosts(fle.hostList(2), unlisted))
		advance(10 * time.Second)
		for ver := uint64(2); ver <= 8; ver++ {
			since := time.Now()
			fle.publish(declarations(ver, 3))
			advance(3*time.Second + time.Duration(ver)*130*time.Millisecond)
			delays, missing := fle.propagationDelays(fmt.Sprint("declarations ", ver), since, func(id string) bool { return !slices.Contains(unlisted, id) })
			if missing > 0 || delays[len(delays)-1] > bound {
				t.Errorf("version %d: unlisted nodes put it in force after %v, %d have not", ver, delays, missing)
			}
		}
	})
}

// withoutHosts returns a host list without some hosts; each host must be on a line of its own.
func withoutHosts(doc core.Document, ids []string) core.Document {
	lines := strings.Split(string(doc.Data()), "\n")
	lines = slices.DeleteFunc(lines, func(line string) bool {
		return slices.ContainsFunc(ids, func(id string) bool { return strings.Contains(line, fmt.Sprintf(`"id": %q`, id)) })
	})
	text := strings.Join(lines, "\n")
	text = strings.Replace(text, ",]}", "]}", 1)
	if !strings.HasSuffix(text, "]}") {
		text = strings.TrimSuffix(strings.TrimSpace(text), ",") + "]}"
	}
	return core.NewDocument(doc.Name(), doc.Version(), []byte(text))
}
