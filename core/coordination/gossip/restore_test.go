package gossip_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gossip"
	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// restored is added to the versions that a platform publishes after it was restored from a copy.
const restored = 1_000_000

// operatorDeclarations returns declarations with a version of the operator and further fields, of the form "name": value.
func operatorDeclarations(version, operatorVersion uint64, fields ...string) core.Document {
	doc := declarations(version, 3)
	text := strings.Replace(string(doc.Data()), "{", fmt.Sprintf(`{"operator_version": %d, `, operatorVersion), 1)
	for _, field := range fields {
		text = strings.Replace(text, "{", "{"+field+", ", 1)
	}
	return core.NewDocument(doc.Name(), version, []byte(text))
}

// withDomainOut returns declarations with one failure domain out of service.
func withDomainOut(doc core.Document, domain string) core.Document {
	old := fmt.Sprintf(`{"name": %q, "region": "region-0", "state": "in"}`, domain)
	text := strings.Replace(string(doc.Data()), old, strings.Replace(old, `"in"`, `"out"`, 1), 1)
	return core.NewDocument(doc.Name(), doc.Version(), []byte(text))
}

// countOperatorVersions returns the number of nodes by the operator version in force.
func (fle *fleet) countOperatorVersions() map[uint64]int {
	out := map[uint64]int{}
	for _, nod := range fle.runningNodes() {
		if snap := nod.syncer.Snapshot(); snap != nil {
			out[snap.OperatorVersion()]++
		}
	}
	return out
}

// Guards against nodes that go back to an older content because a restored platform holds it under a higher version until
// the operator has written the newer one again, against a change after that which is in force late, and against calls and
// pulls without end meanwhile.
func TestOlderContentNeverReplacesNewer(t *testing.T) {
	t.Parallel()
	runFleet(t, 30, 3, func(t *testing.T, fle *fleet) {
		fle.publish(operatorDeclarations(10, 7))
		fle.start(fle.ids...)
		advance(10 * time.Second)
		before := fle.totalPulls()
		fle.publish(operatorDeclarations(restored+5, 5))
		since := time.Now()
		for range 10 {
			advance(time.Second)
			if diff := cmp.Diff(map[uint64]int{7: 30}, fle.countOperatorVersions()); diff != "" {
				t.Fatalf("nodes by operator version while the platform holds an older one (-want +got):\n%s", diff)
			}
		}
		if _, mean := fle.callRates(since, 1); mean > 20 {
			t.Errorf("%.1f platform calls/s, want at most 20", mean)
		}
		pulls := fle.totalPulls() - before
		published := time.Now()
		fle.publish(operatorDeclarations(restored+6, 8))
		advance(maxPropagation)
		delays, missing := fle.propagationDelays(fmt.Sprint("declarations ", restored+6), published, nil)
		if missing > 0 || delays[len(delays)-1] > time.Second {
			t.Errorf("%d nodes have not put the change after the older content in force, the others within %v; want all within 1 s", missing, delays[len(delays)-1])
		}
		if pulls > 0 {
			t.Errorf("%d pulls of the older content, want none", pulls)
		}
	})
}

// Guards against a watcher that pauses after each older content that it refuses, so that the newer one is in force late when
// an operator writes all versions again one after the other.
func TestRefusedContentsDoNotDelayNewer(t *testing.T) {
	t.Parallel()
	runFleet(t, 30, 3, func(t *testing.T, fle *fleet) {
		fle.publish(operatorDeclarations(10, 17))
		fle.start(fle.ids...)
		advance(10 * time.Second)
		for ver := range uint64(16) {
			fle.publish(operatorDeclarations(restored+ver, 1+ver))
			advance(500 * time.Millisecond)
		}
		const bound = 250 * time.Millisecond
		published := time.Now()
		fle.publish(operatorDeclarations(restored+20, 18))
		advance(bound)
		if delays, missing := fle.propagationDelays(fmt.Sprint("declarations ", restored+20), published, nil); missing > 0 {
			t.Errorf("%d nodes have not put the newer content in force after %v, the others after %v", missing, bound, delays)
		}
	})
}

// Guards against a node that has just started and read the older content of a restored platform, and gives it to others.
func TestStartingNodeDoesNotRevertOthers(t *testing.T) {
	t.Parallel()
	runFleet(t, 30, 3, func(t *testing.T, fle *fleet) {
		fle.publish(operatorDeclarations(10, 7))
		fle.start(fle.ids...)
		advance(10 * time.Second)
		started := fle.watchers("domain-0")[0]
		fle.node(started).stop()
		before := fle.totalPulls() // the node that starts again counts from 0
		fle.publish(operatorDeclarations(restored+5, 5))
		fle.start(started)
		for range 10 {
			advance(time.Second)
			if got := fle.countOperatorVersions()[7]; got < 29 {
				t.Fatalf("%d nodes hold the newer content, want at least 29", got)
			}
		}
		if pulls := fle.totalPulls() - before; pulls > 2*30 {
			t.Errorf("%d pulls of the older content, want at most 2 for each node", pulls)
		}
		fle.publish(operatorDeclarations(restored+6, 7))
		advance(maxPropagation)
		if diff := cmp.Diff(map[uint64]int{7: 30}, fle.countOperatorVersions()); diff != "" {
			t.Errorf("nodes by operator version after the newer content is back (-want +got):\n%s", diff)
		}
	})
}

func (fle *fleet) totalPulls() uint64 {
	var pulls uint64
	for _, nod := range fle.runningNodes() {
		pulls += nod.syncer.Status().Pulls
	}
	return pulls
}

// Guards against an operator who cannot tell why a document of a restored platform is not in force.
func TestRevertIsNamed(t *testing.T) {
	sto := gossip.NewStore()
	if _, err := sto.Apply(operatorDeclarations(10, 7), nil); err != nil {
		t.Fatal(err)
	}
	changed, err := sto.Apply(operatorDeclarations(restored+5, 5), nil)
	var rer *gossip.RevertError
	if changed || !errors.As(err, &rer) || !strings.Contains(err.Error(), "operator version 5 is below 7") || strings.Contains(err.Error(), "corrected") {
		t.Errorf("older content: changed %v, %v; want a RevertError that names versions 5 and 7 and asks for no correction", changed, err)
	}
}

// Guards against work for an evacuated failure domain because a restored platform has lost the evacuation, and against one
// that stays out although the settled content has it in service.
func TestEvacuationStaysWhileSettling(t *testing.T) {
	t.Parallel()
	const domain = "domain-1"
	steps := []struct {
		name string
		doc  core.Document
		out  bool
	}{
		{"evacuated", withDomainOut(operatorDeclarations(10, 7), domain), true},
		{"lost, same operator version", operatorDeclarations(restored+4, 7, `"settling": true`), true},
		{"lost, newer operator version", operatorDeclarations(restored+6, 8, `"settling": true`), true},
		{"settled without the evacuation", operatorDeclarations(restored+7, 8), false},
		{"evacuated again", withDomainOut(operatorDeclarations(restored+9, 8), domain), true},
		{"evacuation of the copy, ended before", withDomainOut(operatorDeclarations(2*restored+3, 8, `"settling": true`), domain), true},
		{"ended again", operatorDeclarations(2*restored+4, 8), false},
	}
	runFleet(t, 30, 3, func(t *testing.T, fle *fleet) {
		fle.publish(operatorDeclarations(5, 6))
		fle.start(fle.ids...)
		advance(10 * time.Second)
		for _, stp := range steps {
			fle.publish(stp.doc)
			advance(maxPropagation)
			for _, nod := range fle.runningNodes() {
				snap := nod.syncer.Snapshot()
				if got := snap.Domain(domain).OutOfService(); got != stp.out || snap.Version() != stp.doc.Version() {
					t.Fatalf("%s: at %s version %d is in force and the domain out of service is %v, want %d and %v",
						stp.name, nod.id, snap.Version(), got, stp.doc.Version(), stp.out)
				}
			}
		}
	})
}

// Guards against an incomplete host list of a starting node that replaces the complete one of others, and against a fleet
// that starts and waits for a complete list.
func TestSettlingListReplacesOnlySettlingLists(t *testing.T) {
	settling := func(doc core.Document) core.Document {
		return core.NewDocument(doc.Name(), doc.Version(), []byte(strings.Replace(string(doc.Data()), "{", `{"settling": true, `, 1)))
	}
	fle := newFleet(3, 3)
	sto := gossip.NewStore()
	var got []bool
	for _, doc := range []core.Document{
		settling(fle.hostList(1)), settling(fle.hostList(2)), fle.hostList(3), settling(fle.hostList(restored + 4)), fle.hostList(restored + 5),
	} {
		changed, _ := sto.Apply(doc, nil)
		got = append(got, changed)
	}
	if diff := cmp.Diff([]bool{true, true, true, false, true}, got); diff != "" {
		t.Errorf("whether each list was put in force (-want +got):\n%s", diff)
	}
}

// Guards against a store that takes an older content of the operator, under any order of documents of a platform that was
// restored, pulls among nodes and restarts.
func TestOperatorVersionNeverFalls(t *testing.T) {
	var docs []core.Document
	for count := range uint64(3) {
		for operatorVersion := uint64(1); operatorVersion <= 4; operatorVersion++ {
			docs = append(docs, operatorDeclarations(count*restored+operatorVersion+count, operatorVersion))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*gossip.Store{gossip.NewStore(), gossip.NewStore(), gossip.NewStore()}
		inForce := make([]uint64, len(nodes))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			idx := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			doc := rapid.SampledFrom(docs).Draw(t, "document")
			peer := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")]
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				nodes[idx], inForce[idx] = gossip.NewStore(), 0
				continue
			case 1, 2:
				ver, ok := peer.Version(core.DocumentDeclarations)
				if !ok || !nodes[idx].Supersedes(ver) {
					continue
				}
				data, err := gossip.Decompress(peer.Compressed(ver.Name()))
				if err != nil {
					t.Fatal(err)
				}
				doc = core.NewDocument(ver.Name(), ver.Number(), data)
			}
			changed, _ := nodes[idx].Apply(doc, nil)
			if !changed {
				continue
			}
			dec, err := decl.Decode(doc.Data())
			if err != nil {
				t.Fatal(err)
			}
			if dec.OperatorVersion() < inForce[idx] {
				t.Fatalf("operator version %d was replaced by %d", inForce[idx], dec.OperatorVersion())
			}
			inForce[idx] = dec.OperatorVersion()
		}
	})
}
