package gossip_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"amaranthline/core/coordination/gossip"

	"github.com/google/go-cmp/cmp"
)

// Guards against taking the configuration for stale at the ages of reads that nodes of a large fleet see while all is well,
// and for a recent one without any read.
func TestStaleConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		syn := gossip.New(gossip.Settings{Host: "a1", Domain: "a", Rand: rand.New(rand.NewPCG(1, 2))})
		var got []bool
		for _, pause := range []time.Duration{0, 6 * time.Second, 3 * time.Second} {
			time.Sleep(pause)
			got = append(got, syn.Stale())
		}
		if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" {
			t.Errorf("whether the configuration is stale after 0 s, 6 s and 9 s without a read (-want +got):\n%s", diff)
		}
	})
}
