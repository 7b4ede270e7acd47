package dedup

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"amaranthline/core"
)

// Key is an idempotency key in the scope of its team and service, with the fingerprint of the request that carries it.
type Key struct {
	digest        [sha256.Size]byte
	rendezvousKey string
	fingerprint   core.Fingerprint
	timestamp     time.Time // creation time in a UUIDv7 key; zero for any other key
}

// NewKey returns the key of a request in the scope of a team and a service.
func NewKey(team, service, key string, fp core.Fingerprint) Key {
	buf := make([]byte, 0, 128)
	for _, part := range [...]string{team, service, key} {
		// The length prefix keeps two different triples from encoding to the same bytes.
		buf = binary.BigEndian.AppendUint32(buf, uint32(len(part)))
		buf = append(buf, part...)
	}
	digest := sha256.Sum256(buf)
	return Key{digest: digest, rendezvousKey: string(digest[:]), fingerprint: fp, timestamp: uuidTime(key)}
}

// RendezvousKey returns the key for rendezvous hashing over the service's hosts, which selects the owner.
func (key Key) RendezvousKey() string { return key.rendezvousKey }

// The UUID format of RFC 9562.
const (
	uuidLength   = 36 // characters of the text form
	uuidTimeSize = 6  // leading bytes of a UUIDv7, a timestamp in Unix milliseconds
)

// uuidTime returns the timestamp of a UUIDv7, or the zero time for any other text.
func uuidTime(text string) time.Time {
	if len(text) != uuidLength || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' {
		return time.Time{}
	}
	var digits [2 * 16]byte
	n := copy(digits[:], text[:8])
	n += copy(digits[n:], text[9:13])
	n += copy(digits[n:], text[14:18])
	n += copy(digits[n:], text[19:23])
	copy(digits[n:], text[24:])
	var raw [16]byte
	if _, err := hex.Decode(raw[:], digits[:]); err != nil {
		return time.Time{}
	}
	if raw[6]>>4 != 7 || raw[8]>>6 != 0b10 {
		return time.Time{}
	}
	var millis [8]byte
	copy(millis[8-uuidTimeSize:], raw[:uuidTimeSize])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(millis[:])))
}
