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
	HeaderCall     = "Amaranthline-Call"    // token that the upstream passes on with nested calls
	HeaderNotRun   = "Amaranthline-Not-Run" // "true" when the upstream refused a request before it started work
	HeaderTimeout  = "Request-Timeout"      // remaining time in milliseconds
	reservedPrefix = "Amaranthline-"

	maxRetryAfter = time.Hour // longer pauses that an upstream asks for are cut to this
)

// defaultDialect is the dialect of upstreams that use amaranthline's own headers.
type defaultDialect struct{}

// SetCallHeaders sets the call token and the remaining time, and removes the caller's key, which the upstream must not see.
func (defaultDialect) SetCallHeaders(hdr http.Header, _ *core.Call, callToken, _ string, remaining time.Duration) {
	deleteReserved(hdr)
	hdr.Del("Authorization")
	hdr.Set(HeaderCall, callToken)
	hdr.Set(HeaderTimeout, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}

// ClassifyAnswer returns a refusal when the upstream states that it refused the request before it started work.
func (defaultDialect) ClassifyAnswer(_ *core.Call, status int, hdr http.Header) *core.Refusal {
	if status != http.StatusServiceUnavailable || hdr.Get(HeaderNotRun) != "true" {
		return nil
	}
	ref := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "the upstream refused the request before it started work")
	if sec, err := strconv.ParseFloat(hdr.Get("Retry-After"), 64); err == nil && sec > 0 {
		ref = ref.WithRetryAfter(time.Duration(min(sec, maxRetryAfter.Seconds()) * float64(time.Second)))
	}
	return ref
}

// NamesCall returns true, because these upstreams name no calls and their connections are used again all the same.
func (defaultDialect) NamesCall(http.Header) bool { return true }

// SetAnswerHeaders removes reserved headers, which only the system may set.
func (defaultDialect) SetAnswerHeaders(hdr http.Header) { deleteReserved(hdr) }

// ParseHealth reports an upstream as serving when it answers with status 200.
func (defaultDialect) ParseHealth(status int, _ http.Header) (core.Health, bool) {
	return core.NewHealth("", status == http.StatusOK, 0), true
}

func deleteReserved(hdr http.Header) {
	for name := range hdr {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(hdr, name)
		}
	}
}
