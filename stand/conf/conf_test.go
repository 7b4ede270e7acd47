package conf_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amaranthline/stand/conf"

	"github.com/google/go-cmp/cmp"
)

// call sends one call and returns its status, version and body, and the whole seconds that it took.
func call(ser *conf.Service, method, target, body string) string {
	started, rec := time.Now(), httptest.NewRecorder()
	ser.ServeHTTP(rec, httptest.NewRequest(method, target, strings.NewReader(body)))
	elapsed := int(time.Since(started).Seconds())
	return strings.TrimSpace(fmt.Sprintf("%d %s %s %ds", rec.Code, rec.Header().Get("Version"), strings.TrimSpace(rec.Body.String()), elapsed))
}

// Guards against answers to nodes, tests and operators that differ from the package documentation. Each case lists calls
// and their answers in order.
func TestService(t *testing.T) {
	type step struct{ method, target, body, want string }
	publish := step{"PUT", "/v1/values/hosts", `{"version": 3}`, `200  {"version":3} 0s`}
	tests := []struct {
		name  string
		steps []step
	}{
		{"publish and read", []step{
			{"GET", "/v1/values/hosts", "", `404  {"error":"document \"hosts\" has not been published; PUT it first"} 0s`},
			publish,
			{"GET", "/v1/values/hosts", "", `200 3 {"version": 3} 0s`},
			{"GET", "/v1/values/hosts?after=2&wait=9", "", `200 3 {"version": 3} 0s`},
			{"GET", "/v1/values/hosts?after=3&wait=9", "", `304   9s`},
			{"GET", "/v1/values/hosts?after=3&wait=900", "", `304   60s`},
			{"GET", "/v1/values/hosts?after=x&wait=9", "", `400  {"error":"the parameters after and wait must both be whole numbers; use ?after=VERSION\u0026wait=SECONDS"} 0s`},
		}},
		{"a bad document is published", []step{
			publish,
			{"PUT", "/v1/values/hosts", `{"version"`, `200  {"version":4} 0s`},
			{"GET", "/v1/values/hosts", "", `200 4 {"version" 0s`},
		}},
		{"stale", []step{
			publish,
			{"PUT", "/v1/mode", `{"mode": "stale"}`, `200  {"mode":"stale"} 0s`},
			{"PUT", "/v1/values/hosts", `{"version": 4}`, `200  {"version":4} 0s`},
			{"GET", "/v1/values/hosts", "", `200 3 {"version": 3} 0s`},
			{"GET", "/v1/values/hosts?after=3&wait=2", "", `304   2s`},
			{"PUT", "/v1/mode", `{"mode": "live"}`, `200  {"mode":"live"} 0s`},
			{"GET", "/v1/values/hosts", "", `200 4 {"version": 4} 0s`},
		}},
		{"down", []step{
			publish,
			{"PUT", "/v1/mode", `{"mode": "down"}`, `200  {"mode":"down"} 0s`},
			{"GET", "/v1/values/hosts?after=3&wait=2", "", `503  {"error":"the configuration service is in mode down; set the mode live"} 0s`},
			{"PUT", "/v1/mode", `{"mode": "slow"}`, `400  {"error":"the body does not set a known mode; send {\"mode\": \"live\"}, {\"mode\": \"stale\"} or {\"mode\": \"down\"}"} 0s`},
			{"GET", "/v1/mode", "", `200  {"mode":"down"} 0s`},
		}},
		{"calls", []step{
			publish,
			{"GET", "/v1/values/hosts", "", `200 3 {"version": 3} 0s`},
			{"GET", "/v1/values/hosts?after=3&wait=5", "", `304   5s`},
			{"GET", "/v1/calls", "", `200  {"calls":2,"waiting":0,"per_second":0.2} 0s`},
			{"GET", "/v1/values/hosts?after=3&wait=7", "", `304   7s`},
			{"GET", "/v1/calls", "", `200  {"calls":3,"waiting":0,"per_second":0.1} 0s`},
		}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ser := conf.New()
				for _, stp := range tst.steps {
					if diff := cmp.Diff(stp.want, call(ser, stp.method, stp.target, stp.body)); diff != "" {
						t.Errorf("%s %s (-want +got):\n%s", stp.method, stp.target, diff)
					}
				}
			})
		})
	}
}

// Guards against watches that keep waiting after a change of their document or after the mode is set to down, and against
// a wrong count of waiting watches.
func TestWatchesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ser := conf.New()
		ser.Publish("hosts", []byte(`{"version": 1}`))
		watch := func() chan string {
			got := make(chan string, 1)
			go func() { got <- call(ser, "GET", "/v1/values/hosts?after=1&wait=30", "") }()
			return got
		}
		first := watch()
		synctest.Wait()
		waiting := ser.Calls().Waiting
		ser.Publish("hosts", []byte(`{"version": 2}`))
		got := []string{fmt.Sprint(waiting), <-first}
		ser.Publish("hosts", []byte(`{"version": 1}`))
		second := watch()
		synctest.Wait()
		ser.SetMode(conf.ModeDown)
		got = append(got, <-second, fmt.Sprint(ser.Calls().Waiting))
		want := []string{"1", `200 2 {"version": 2} 0s`, `503  {"error":"the configuration service is in mode down; set the mode live"} 0s`, "0"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("waiting watches and answers (-want +got):\n%s", diff)
		}
	})
}
