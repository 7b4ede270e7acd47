package wire

import (
	"maps"
	"net/http"
	"strings"
)

// hopByHop lists the headers that RFC 9110, section 7.6.1, keeps to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Transfer-Encoding", "Upgrade", "Trailer",
}

// EndToEnd returns a copy of the headers without those that belong to one connection:
// the ones that RFC 9110, section 7.6.1, lists, and the ones that Connection names. "TE: trailers" stays.
func EndToEnd(hdr http.Header) http.Header {
	out := make(http.Header, len(hdr))
	maps.Copy(out, hdr)
	return removeHopByHop(out)
}

// strip removes the headers that belong to one connection from the map itself.
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

// endToEnd says whether no header belongs to one connection.
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
