package cost

import (
	"fmt"
	"math/bits"
	"net/http"
)

// Kind groups calls that are expected to be about the same work.
type Kind struct {
	route  string
	method string
	size   uint8
}

const (
	// Lengths of bodies are told apart by factors of 1 << sizeStep from smallBody on: work that depends on the body
	// depends on the order of its length.
	sizeStep  = 3
	smallBody = 1 << 10 // bytes
	// otherMethod stands for all methods but the usual ones, because callers may send any string as the method.
	otherMethod = "other"
)

// NewKind returns the kind of the calls of a route and method whose bodies have about the given length in bytes, which
// is negative if it is unknown.
func NewKind(route, method string, length int64) Kind {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
	default:
		method = otherMethod
	}
	return Kind{route: route, method: method, size: sizeClass(length)}
}

// sizeClass returns 0 for no body and for one of unknown length, 1 for a small body, and one more for each factor of
// 1 << sizeStep.
func sizeClass(length int64) uint8 {
	if length <= 0 {
		return 0
	}
	return uint8(1 + (bits.Len64(uint64(length/smallBody))+sizeStep-1)/sizeStep)
}

// String returns the kind in one line.
func (kin Kind) String() string { return fmt.Sprintf("%s %s size %d", kin.route, kin.method, kin.size) }

// Route returns the name of the route.
func (kin Kind) Route() string { return kin.route }

// Method returns the HTTP method, or "other" for an unusual one.
func (kin Kind) Method() string { return kin.method }

// Size returns the class of the length of the body; 0 means none or unknown.
func (kin Kind) Size() int { return int(kin.size) }
