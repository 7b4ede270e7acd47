package back

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthline/core"
)

// Headers between a node and its upstream.
const (
	CallHeader    = "Amaranthline-Call"
	NotRunHeader  = "Amaranthline-Not-Run"
	TimeoutHeader = "Request-Timeout"
	ownPrefix     = "Amaranthline-"
)

// own is the dialect of amaranthline's own headers.
type own struct{}

// SetCallHeaders names the token and the remaining time; the key stays with the system.
func (own) SetCallHeaders(hdr http.Header, _ *core.Call, token, _ string, remaining time.Duration) {
	deleteOwn(hdr)
	hdr.Del("Authorization")
	hdr.Set(CallHeader, token)
	hdr.Set(TimeoutHeader, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}

// ClassifyAnswer recognizes the upstream's own refusal.
func (own) ClassifyAnswer(_ *core.Call, status int, hdr http.Header) *core.Refusal {
	if status != http.StatusServiceUnavailable || hdr.Get(NotRunHeader) != "true" {
		return nil
	}
	ref := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "the upstream refused the request before it started work")
	if sec, err := strconv.Atoi(hdr.Get("Retry-After")); err == nil && sec > 0 {
		ref = ref.WithRetryAfter(time.Duration(sec) * time.Second)
	}
	return ref
}

// SetAnswerHeaders keeps the system's headers to the system.
func (own) SetAnswerHeaders(hdr http.Header) { deleteOwn(hdr) }

// ParseHealth says that an upstream with status 200 takes work.
func (own) ParseHealth(status int, _ http.Header) core.Health {
	return core.NewHealth("", status == http.StatusOK, 0)
}

func deleteOwn(hdr http.Header) {
	for name := range hdr {
		if strings.HasPrefix(name, ownPrefix) {
			delete(hdr, name)
		}
	}
}
