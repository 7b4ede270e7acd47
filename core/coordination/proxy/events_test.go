package proxy_test

import (
	"testing"
	"testing/synctest"
	"time"

	"amaranthline/core"
)

// Guards against sending all queued calls a moment before the upstream is warm: it tells the cold time in whole milliseconds.
func TestEndOfColdTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		env := &fakeEnv{upstream: cup.serve, sna: coldSnapshot(t, 5, false, 0)}
		env.health = func() (core.Health, error) {
			hea, err := cup.health()
			return core.NewHealth(hea.Instance(), true, hea.ColdRemaining().Truncate(time.Millisecond)), err
		}
		cup.becomeCold(2500*time.Millisecond + 900*time.Microsecond)
		prx, stop := runProxy(t, env)
		defer stop()
		sendCalls(t, prx, 2000, coldDuration+time.Second)
		cup.checkArrivals(t)
	})
}
