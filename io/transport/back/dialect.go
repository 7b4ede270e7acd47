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
	CallHeader     = "Amaranthline-Call"
	NotRunHeader   = "Amaranthline-Not-Run"
	TimeoutHeader  = "Request-Timeout"
	reservedPrefix = "Amaranthline-"
)

// own is the dialect of amaranthline's own headers.
type defaultDialect struct{}

// SetCallHeaders names the token and the remaining time; the key stays with the system.
func (defaultDialect) SetCallHeaders(hdr http.Header, _ *core.Call, token, _ string, remaining time.Duration) {
	deleteReserved(hdr)
	hdr.Del("Authorization")
	hdr.Set(CallHeader, token)
	hdr.Set(TimeoutHeader, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}

// ClassifyAnswer recognizes the upstream's own refusal.
func (defaultDialect) ClassifyAnswer(_ *core.Call, status int, hdr http.Header) *core.Refusal {
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
func (defaultDialect) SetAnswerHeaders(hdr http.Header) { deleteReserved(hdr) }

// ParseHealth says that an upstream with status 200 takes work.
func (defaultDialect) ParseHealth(status int, _ http.Header) core.Health {
	return core.NewHealth("", status == http.StatusOK, 0)
}

func deleteReserved(hdr http.Header) {
	for name := range hdr {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(hdr, name)
		}
	}
}
