package front

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

// own is the dialect of amaranthline's own headers.
type own struct {
	nested bool
}

// ParseRequest takes the key or the token out of a request.
func (own own) ParseRequest(hrq *http.Request) (core.RequestSpec, *core.Refusal) {
	service, path, ref := splitPath(hrq)
	if ref != nil {
		return core.RequestSpec{}, ref
	}
	spec := core.RequestSpec{Service: service, Path: path, Query: hrq.URL.RawQuery}
	spec.Header = wire.EndToEnd(hrq.Header)
	if ref := own.readInternal(&spec); ref != nil {
		return spec, ref
	}
	if !own.nested {
		spec.APIKey = bearer(hrq.Header.Get("Authorization"))
		spec.Header.Del("Authorization")
		if ref := checkLeak(&spec); ref != nil {
			return spec, ref
		}
	}
	if ref := readTimeout(&spec); ref != nil {
		return spec, ref
	}
	spec.IdempotencyKey = spec.Header.Get(HeaderIdempotency)
	if len(spec.IdempotencyKey) > maxIdempotency {
		return spec, refusal(core.ReasonBadRequest, "%s has more than %d bytes", HeaderIdempotency, maxIdempotency)
	}
	return spec, nil
}

// SetRefusalHeaders names outcome and reason, and the pause in whole seconds.
func (own) SetRefusalHeaders(head http.Header, ref *core.Refusal) {
	head.Set(HeaderOutcome, ref.Outcome().String())
	head.Set(HeaderReason, string(ref.Reason()))
	if pause := ref.RetryAfter(); pause > 0 {
		head.Set("Retry-After", strconv.Itoa(int((pause+time.Second-1)/time.Second)))
	}
}

// SetAnswerHeaders names the outcome.
func (own) SetAnswerHeaders(head http.Header) { head.Set(HeaderOutcome, core.OutcomeRan.String()) }

func refusal(reason core.Reason, format string, args ...any) *core.Refusal {
	return core.NewRefusal(reason, core.OutcomeNotRun, fmt.Sprintf(format, args...))
}

// splitPath takes the service from the first path segment. Dot segments are refused, because the
// upstream could resolve them to a path of another route than the one that was checked.
func splitPath(hrq *http.Request) (service, path string, ref *core.Refusal) {
	full := hrq.URL.EscapedPath()
	service, rest, found := strings.Cut(strings.TrimPrefix(full, "/"), "/")
	if !strings.HasPrefix(full, "/") || service == "" || !found {
		return "", "", refusal(core.ReasonUnknownService, "the path %q names no service", full)
	}
	for _, seg := range strings.Split(rest, "/") {
		plain := strings.ReplaceAll(strings.ToLower(seg), "%2e", ".")
		if plain == "." || plain == ".." || strings.Contains(plain, "%2f") || strings.Contains(plain, "%5c") {
			return "", "", refusal(core.ReasonBadRequest, "the path has the ambiguous segment %q", seg)
		}
	}
	return service, "/" + rest, nil
}

// readInternal refuses headers of the system's own name space, but for the token of a nested call.
func (own own) readInternal(spec *core.RequestSpec) *core.Refusal {
	if own.nested {
		spec.CallToken = spec.Header.Get(HeaderCall)
		spec.Header.Del(HeaderCall)
	}
	for name := range spec.Header {
		if strings.HasPrefix(name, headerPrefix) {
			return refusal(core.ReasonSpoofedHeader, "the header %s is reserved", name)
		}
	}
	return nil
}

func bearer(value string) string {
	scheme, key, found := strings.Cut(value, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// checkLeak refuses a request that carries its key in a place that the upstream would see.
func checkLeak(spec *core.RequestSpec) *core.Refusal {
	if spec.APIKey == "" {
		return nil
	}
	if strings.Contains(spec.Path, spec.APIKey) || strings.Contains(spec.Query, spec.APIKey) {
		return refusal(core.ReasonKeyLeak, "the URL contains the key")
	}
	for name, values := range spec.Header {
		for _, val := range values {
			if strings.Contains(val, spec.APIKey) {
				return refusal(core.ReasonKeyLeak, "the header %s contains the key", name)
			}
		}
	}
	return nil
}

func readTimeout(spec *core.RequestSpec) *core.Refusal {
	value := spec.Header.Get(HeaderTimeout)
	spec.Header.Del(HeaderTimeout)
	if value == "" {
		return nil
	}
	milli, err := strconv.Atoi(value)
	if err != nil || milli <= 0 || milli > maxTimeoutMilli {
		return refusal(core.ReasonBadRequest, "%s is %q; give milliseconds from 1 to %d", HeaderTimeout, value, maxTimeoutMilli)
	}
	spec.Timeout = time.Duration(milli) * time.Millisecond
	return nil
}
