package crash

import (
	"crypto/sha256"
	"encoding/binary"

	"amaranthline/core"
)

// bodyPrefixBytes is how much of the start of a body a fingerprint covers.
const bodyPrefixBytes = 4 << 10

// Fingerprint returns a digest that is the same for all copies of a request; path includes the query.
func Fingerprint(team, service, method, path string, body []byte) core.Fingerprint {
	sum := sha256.New()
	var length [4]byte
	for _, part := range [...]string{team, service, method, path} {
		// The length prefix keeps two different requests from encoding to the same bytes.
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		sum.Write(length[:])
		sum.Write([]byte(part))
	}
	sum.Write(body[:min(len(body), bodyPrefixBytes)])
	var fp core.Fingerprint
	sum.Sum(fp[:0])
	return fp
}

// RendezvousKey returns the key for rendezvous hashing over the service's hosts, which selects the owner that runs a
// suspect's trials.
func RendezvousKey(fp core.Fingerprint) string { return string(fp[:]) }
