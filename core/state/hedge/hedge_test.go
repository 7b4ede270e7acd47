package hedge_test

import (
	"testing"
	"time"

	"amaranthline/core/state/hedge"
)

// Guards against sending a call a second time too early, which doubles the load on a slow service, or so late that the
// second attempt cannot be answered before the deadline.
func TestDelay(t *testing.T) {
	tests := []struct {
		name      string
		answers   int
		elapsed   time.Duration
		remaining time.Duration
		low, high time.Duration
	}{
		{"too few answers", 10, 50 * time.Millisecond, time.Second, 0, 0},
		{"steady answers", 100, 50 * time.Millisecond, time.Second, 60 * time.Millisecond, 150 * time.Millisecond},
		{"no time for another", 100, 50 * time.Millisecond, 90 * time.Millisecond, 0, 0},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			var est hedge.Estimator
			for range tst.answers {
				est.Observe(tst.elapsed)
			}
			if got := est.Delay(tst.remaining); got < tst.low || got > tst.high {
				t.Errorf("the delay is %v, want %v to %v", got, tst.low, tst.high)
			}
		})
	}
}

// Guards against treating slow answers as lost where answer times vary by a factor of four.
func TestVaryingAnswerTimes(t *testing.T) {
	var est hedge.Estimator
	for i := range 200 {
		est.Observe(time.Duration(20+20*(i%4)) * time.Millisecond)
	}
	if got := est.Delay(time.Second); got < 120*time.Millisecond {
		t.Errorf("the delay is %v, want at least 120ms, as answers take up to 80ms", got)
	}
}
