package memory_test

import (
	"sync"
	"testing"

	"amaranthline/core/state/memory"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against a budget that gives out more than it has, or that loses bytes, when many requests use it at once.
func TestBudgetIsNeverExceeded(t *testing.T) {
	bud := memory.New(1000)
	var grp sync.WaitGroup
	for range 8 {
		grp.Go(func() {
			for range 2000 {
				if bud.Reserve(300) {
					if bud.Used() > 1000 {
						t.Error("more than the budget is used")
					}
					bud.Release(300)
				}
			}
		})
	}
	grp.Wait()
	if diff := cmp.Diff(0, bud.Used()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a budget that refuses what it has left or grants what it has not.
func TestBudgetGrantsWhatIsLeft(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(0, 1000).Draw(rt, "limit")
		bud, used := memory.New(limit), 0
		for range 20 {
			bytes := rapid.IntRange(-10, 600).Draw(rt, "bytes")
			granted := bud.Reserve(bytes)
			if diff := cmp.Diff(bytes <= limit-used || bytes <= 0, granted); diff != "" {
				rt.Fatal(diff)
			}
			if granted {
				used += max(bytes, 0)
			}
			if diff := cmp.Diff(used, bud.Used()); diff != "" {
				rt.Fatal(diff)
			}
		}
	})
}

// Guards against parts that exceed the memory or the descriptors of a machine, or that do not hold one request of the
// largest legal head with the shortest lines.
func TestDivisionFitsTheMachine(t *testing.T) {
	const legalHead = 16 << 10
	costliest := memory.Charged(memory.HeadCost(legalHead, legalHead/len("a:\r\n")))
	rapid.Check(t, func(rt *rapid.T) {
		mebibytes := rapid.IntRange(32, 4096).Draw(rt, "mebibytes")
		files := rapid.IntRange(256, 8192).Draw(rt, "files")
		div := memory.Divide(mebibytes, files, rapid.IntRange(1, 4000).Draw(rt, "upstream"))
		held := div.Connections()*(48<<10) + div.RequestBytes() + div.HeadBytes()
		if held > mebibytes<<20/2 {
			rt.Fatalf("callers may hold %d bytes of %d MiB", held, mebibytes)
		}
		if div.Connections() > files*7/8 || div.Connections() < 32 {
			rt.Fatalf("%d connections of %d descriptors", div.Connections(), files)
		}
		if peers := div.Handshakes(); peers > max(files/8, 32) || peers < 16 {
			rt.Fatalf("%d unknown peers of %d descriptors", peers, files)
		}
		if div.RequestBytes() < costliest {
			rt.Fatalf("a legal head costs %d of %d bytes", costliest, div.RequestBytes())
		}
		if div.HeapLimit() >= int64(mebibytes)<<20 {
			rt.Fatalf("the heap may grow to %d bytes", div.HeapLimit())
		}
	})
}

// Guards against ordinary heads that draw on the shared budget, so that clients with odd heads could get them refused.
func TestOrdinaryHeadIsFree(t *testing.T) {
	if diff := cmp.Diff(0, memory.Charged(memory.HeadCost(1500, 25))); diff != "" {
		t.Error(diff)
	}
}

// Guards against a node without settings of its machine that has no bounds, or bounds that ordinary use meets.
func TestDivisionWithoutSettings(t *testing.T) {
	div := memory.Divide(0, 0, 512)
	if div.Connections() < 4000 || div.RequestBytes() < 64<<20 {
		t.Errorf("%d connections and %d bytes are too few", div.Connections(), div.RequestBytes())
	}
	if diff := cmp.Diff(int64(0), div.HeapLimit()); diff != "" {
		t.Error(diff)
	}
}
