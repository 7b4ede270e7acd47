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

// defaultDialect is the dialect of callers and upstreams that use amaranthline's own headers.
type defaultDialect struct {
	nested bool
}

// ParseRequest parses a request and removes the key or the call token from the headers that are passed on.
func (dia defaultDialect) ParseRequest(hrq *http.Request) (core.RequestSpec, *core.Refusal) {
	service, path, ref := splitPath(hrq)
	if ref != nil {
		return core.RequestSpec{}, ref
	}
	spec := core.RequestSpec{Service: service, Path: path, Query: hrq.URL.RawQuery}
	spec.Header = wire.EndToEnd(hrq.Header)
	if ref := dia.readReservedHeaders(&spec); ref != nil {
		return spec, ref
	}
	if !dia.nested {
		spec.APIKey = bearerKey(hrq.Header.Get("Authorization"))
		spec.Header.Del("Authorization")
		if ref := checkKeyLeak(&spec); ref != nil {
			return spec, ref
		}
	}
	if ref := parseTimeout(&spec); ref != nil {
		return spec, ref
	}
	spec.IdempotencyKey = spec.Header.Get(HeaderIdempotencyKey)
	if len(spec.IdempotencyKey) > maxIdempotencyKeyBytes {
		return spec, notRunRefusal(core.ReasonBadRequest, "%s has more than %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return spec, nil
}

// SetRefusalHeaders sets the outcome, the reason and, when a pause is advised, Retry-After in whole seconds, rounded
// up.
func (defaultDialect) SetRefusalHeaders(hdr http.Header, ref *core.Refusal) {
	hdr.Set(HeaderOutcome, ref.Outcome().String())
	hdr.Set(HeaderReason, string(ref.Reason()))
	if retryAfter := ref.RetryAfter(); retryAfter > 0 {
		hdr.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
}

// SetAnswerHeaders sets the outcome.
func (defaultDialect) SetAnswerHeaders(hdr http.Header, _ string) {
	hdr.Set(HeaderOutcome, core.OutcomeRan.String())
}

func notRunRefusal(reason core.Reason, format string, args ...any) *core.Refusal {
	return core.NewRefusal(reason, core.OutcomeNotRun, fmt.Sprintf(format, args...))
}

// splitPath returns the service, which is the first path segment, and the rest of the path. It refuses dot segments and
// escaped slashes and backslashes, because the upstream could resolve them to the path of another route than the one
// that was checked.
func splitPath(hrq *http.Request) (service, path string, ref *core.Refusal) {
	escapedPath := hrq.URL.EscapedPath()
	service, rest, found := strings.Cut(strings.TrimPrefix(escapedPath, "/"), "/")
	if !strings.HasPrefix(escapedPath, "/") || service == "" || !found {
		return "", "", notRunRefusal(core.ReasonUnknownService, "the path %q does not start with the name of a service and a slash", escapedPath)
	}
	for _, seg := range strings.Split(rest, "/") {
		decoded := strings.ReplaceAll(strings.ToLower(seg), "%2e", ".")
		if decoded == "." || decoded == ".." || strings.Contains(decoded, "%2f") || strings.Contains(decoded, "%5c") {
			return "", "", notRunRefusal(core.ReasonBadRequest, "the path has the ambiguous segment %q", seg)
		}
	}
	return service, "/" + rest, nil
}

// readReservedHeaders takes the token of a nested call and refuses all other headers with the reserved prefix.
func (dia defaultDialect) readReservedHeaders(spec *core.RequestSpec) *core.Refusal {
	if dia.nested {
		spec.CallToken = spec.Header.Get(HeaderCall)
		spec.Header.Del(HeaderCall)
	}
	for name := range spec.Header {
		if strings.HasPrefix(name, reservedPrefix) {
			return notRunRefusal(core.ReasonSpoofedHeader, "the header %s is reserved", name)
		}
	}
	return nil
}

// bearerKey returns the key of an Authorization header with the Bearer scheme, or "" if there is none.
func bearerKey(value string) string {
	scheme, key, found := strings.Cut(value, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// checkKeyLeak refuses a request that carries its key where the upstream would see it.
func checkKeyLeak(spec *core.RequestSpec) *core.Refusal {
	if spec.APIKey == "" {
		return nil
	}
	if strings.Contains(spec.Path, spec.APIKey) || strings.Contains(spec.Query, spec.APIKey) {
		return notRunRefusal(core.ReasonKeyLeak, "the URL contains the key")
	}
	for name, values := range spec.Header {
		for _, val := range values {
			if strings.Contains(val, spec.APIKey) {
				return notRunRefusal(core.ReasonKeyLeak, "the header %s contains the key", name)
			}
		}
	}
	return nil
}

// parseTimeout takes the caller's timeout, in milliseconds, out of the header.
func parseTimeout(spec *core.RequestSpec) *core.Refusal {
	value := spec.Header.Get(HeaderTimeout)
	spec.Header.Del(HeaderTimeout)
	if value == "" {
		return nil
	}
	millis, err := strconv.Atoi(value)
	if err != nil || millis <= 0 || millis > maxTimeoutMillis {
		return notRunRefusal(core.ReasonBadRequest, "%s is %q; give milliseconds from 1 to %d", HeaderTimeout, value, maxTimeoutMillis)
	}
	spec.Timeout = time.Duration(millis) * time.Millisecond
	return nil
}
