package gossip_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"amaranthline/core"
	"amaranthline/core/coordination/gossip"
	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// testDocuments returns valid declarations, two different ones for each version number, and declarations that must be
// refused: an empty one, and one published under a number that its text does not contain.
func testDocuments() []core.Document {
	var docs []core.Document
	for ver := uint64(1); ver <= 4; ver++ {
		docs = append(docs, declarations(ver, 2), declarations(ver, 3))
		docs = append(docs, core.NewDocument(core.DocumentDeclarations, ver, []byte(`{}`)))
		docs = append(docs, core.NewDocument(core.DocumentDeclarations, ver+1, declarations(ver, 2).Data()))
	}
	return docs
}

// versionOf returns the version of the declarations in a store; without any it is the zero version, which is below all
// others.
func versionOf(sto *gossip.Store) gossip.Version {
	ver, _ := sto.Version(core.DocumentDeclarations)
	return ver
}

// pullDeclarations copies the declarations in force in one store to another if they are newer, as a pull does.
func pullDeclarations(t *rapid.T, from, to *gossip.Store) {
	ver, ok := from.Version(core.DocumentDeclarations)
	if !ok || !to.Supersedes(ver) {
		return
	}
	compressed := from.Compressed(ver.Name())
	data, err := gossip.Decompress(compressed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := to.Apply(core.NewDocument(ver.Name(), ver.Number(), data), compressed); err != nil {
		t.Fatalf("a peer refuses a document that is in force at another: %v", err)
	}
}

// Guards against a store that goes back to a lower version, and against nodes that still hold different documents after
// exchanging them, under any order of documents, pulls and restarts.
func TestStoresNeverRevertAndConverge(t *testing.T) {
	docs := testDocuments()
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*gossip.Store{gossip.NewStore(), gossip.NewStore(), gossip.NewStore(), gossip.NewStore()}
		node := rapid.IntRange(0, len(nodes)-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			idx := node.Draw(t, "node")
			sto, before := nodes[idx], versionOf(nodes[idx])
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				nodes[idx] = gossip.NewStore()
				continue
			case 1, 2, 3, 4:
				_, _ = sto.Apply(rapid.SampledFrom(docs).Draw(t, "document"), nil)
			default:
				pullDeclarations(t, nodes[node.Draw(t, "peer")], sto)
			}
			if after := versionOf(sto); before.NewerThan(after) {
				t.Fatalf("version %d %v was replaced by %d %v", before.Number(), before.Digest(), after.Number(), after.Digest())
			}
		}
		highest := gossip.Version{}
		for _, sto := range nodes {
			if ver := versionOf(sto); ver.NewerThan(highest) {
				highest = ver
			}
		}
		for range 2 {
			for _, from := range nodes {
				for _, to := range nodes {
					pullDeclarations(t, from, to)
				}
			}
		}
		for _, sto := range nodes {
			if got := versionOf(sto); got != highest {
				t.Fatalf("a node holds version %d %v, the highest is %d %v", got.Number(), got.Digest(), highest.Number(), highest.Digest())
			}
		}
	})
}

// lastWriteWins is the simplest alternative to a Store: the valid document received last is in force.
type lastWriteWins struct {
	version gossip.Version
}

func (lww *lastWriteWins) apply(doc core.Document) {
	if _, err := gossip.NewStore().Apply(doc, nil); err == nil {
		lww.version = gossip.NewVersion(doc)
	}
}

// Guards against a store whose result depends on the order in which documents arrive: for any order, it must be the
// version with which last write wins ends when the same documents arrive in ascending order.
func TestStoreMatchesLastWriteWinsInAscendingOrder(t *testing.T) {
	docs := testDocuments()
	ascending := slices.SortedFunc(slices.Values(docs), func(one, two core.Document) int {
		if gossip.NewVersion(one).NewerThan(gossip.NewVersion(two)) {
			return 1
		}
		return -1
	})
	divergedRuns := 0
	rapid.Check(t, func(t *rapid.T) {
		indexes := rapid.SliceOfNDistinct(rapid.IntRange(0, len(ascending)-1), 1, 10, rapid.ID).Draw(t, "documents")
		sto, asReceived, ascendingOrder := gossip.NewStore(), &lastWriteWins{}, &lastWriteWins{}
		for _, idx := range indexes {
			_, _ = sto.Apply(ascending[idx], nil)
			asReceived.apply(ascending[idx])
		}
		slices.Sort(indexes)
		for _, idx := range indexes {
			ascendingOrder.apply(ascending[idx])
		}
		if got := versionOf(sto); got != ascendingOrder.version {
			t.Fatalf("the store holds version %d %v, want %d %v", got.Number(), got.Digest(), ascendingOrder.version.Number(), ascendingOrder.version.Digest())
		}
		if asReceived.version != ascendingOrder.version {
			divergedRuns++
		}
	})
	t.Logf("last write wins ended with a lower version in %d of the random orders", divergedRuns)
}

// Guards against a refused document that replaces the one in force, is pulled again or whose cause is not reported to
// operators, and against compressed documents that exhaust memory.
func TestRefusedDocumentsAreListedAndNotPulledAgain(t *testing.T) {
	sto := gossip.NewStore()
	valid, mismatched := declarations(3, 2), core.NewDocument(core.DocumentDeclarations, 9, declarations(4, 2).Data())
	if _, err := sto.Apply(valid, nil); err != nil {
		t.Fatal(err)
	}
	changed, err := sto.Apply(mismatched, nil)
	var mismatch *gossip.VersionMismatchError
	got := fmt.Sprint(changed, errors.As(err, &mismatch), sto.Supersedes(gossip.NewVersion(mismatched)), versionOf(sto).Number(), len(sto.Refused()))
	if diff := cmp.Diff("false true false 3 1", got); diff != "" {
		t.Errorf("changed, version mismatch, supersedes, version in force, documents refused (-want +got):\n%s", diff)
	}
	for excess, want := range map[int]bool{0: true, 1: false, decl.MaxDocumentBytes: false} {
		size := decl.MaxDocumentBytes + excess
		if _, err := gossip.Decompress(gossip.Compress(make([]byte, size))); (err == nil) != want {
			t.Errorf("a document of %d bytes: decompressed %t, want %t at a limit of %d", size, err == nil, want, decl.MaxDocumentBytes)
		}
	}
}
