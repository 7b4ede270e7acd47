package wire

import (
	"maps"
	"net/http"
	"strings"
)

// hopByHop lists the headers that RFC 9110, section 7.6.1, restricts to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Transfer-Encoding", "Upgrade", "Trailer",
}

// EndToEnd returns a copy of the headers without the hop-by-hop ones: those that RFC 9110, section 7.6.1, lists, and
// those that the Connection header names. "TE: trailers" is kept.
func EndToEnd(hdr http.Header) http.Header {
	out := make(http.Header, len(hdr))
	maps.Copy(out, hdr)
	return removeHopByHop(out)
}

// removeHopByHop removes the hop-by-hop headers from the map in place, except "TE: trailers".
func removeHopByHop(hdr http.Header) http.Header {
	trailers := acceptsTrailers(hdr["Te"])
	for _, list := range hdr["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			hdr.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(hdr, name)
	}
	if trailers {
		hdr["Te"] = []string{"trailers"}
	}
	return hdr
}

// allEndToEnd reports whether there is no hop-by-hop header.
func allEndToEnd(hdr http.Header) bool {
	for _, name := range hopByHop {
		if _, ok := hdr[name]; ok {
			return false
		}
	}
	return true
}

func acceptsTrailers(values []string) bool {
	for _, list := range values {
		for item := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(item), "trailers") {
				return true
			}
		}
	}
	return false
}
