package crash

import (
	"crypto/sha256"
	"encoding/binary"

	"amaranthline/core"
)

// bodyPrefix is the part of a body that a fingerprint covers, in bytes.
const bodyPrefixBytes = 4 << 10

// Fingerprint returns the digest of what requests that are alike have in common; path includes the query.
func Fingerprint(team, service, method, path string, body []byte) core.Fingerprint {
	sum := sha256.New()
	var length [4]byte
	for _, part := range [...]string{team, service, method, path} {
		// The length keeps two different requests from having one text.
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		sum.Write(length[:])
		sum.Write([]byte(part))
	}
	sum.Write(body[:min(len(body), bodyPrefixBytes)])
	var fp core.Fingerprint
	sum.Sum(fp[:0])
	return fp
}

// RendezvousKey returns the text whose rendezvous hashing over the service's hosts names the host of a suspect's
// trials.
func RendezvousKey(fp core.Fingerprint) string { return string(fp[:]) }
