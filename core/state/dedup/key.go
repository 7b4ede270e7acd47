package dedup

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"amaranthline/core"
)

// Key is an idempotency key in the scope of its team and service, together with what the request contains.
type Key struct {
	digest        [sha256.Size]byte
	rendezvousKey string
	fingerprint   core.Fingerprint
	timestamp     time.Time // zero unless the key is a UUIDv7
}

// NewKey returns the scoped key of a request with a fingerprint.
func NewKey(team, service, key string, fp core.Fingerprint) Key {
	buf := make([]byte, 0, 128)
	for _, part := range [...]string{team, service, key} {
		// The length keeps two different triples from having one text.
		buf = binary.BigEndian.AppendUint32(buf, uint32(len(part)))
		buf = append(buf, part...)
	}
	digest := sha256.Sum256(buf)
	return Key{digest: digest, rendezvousKey: string(digest[:]), fingerprint: fp, timestamp: uuidTime(key)}
}

// RendezvousKey returns the text whose rendezvous hashing over the service's hosts names the owner.
func (key Key) RendezvousKey() string { return key.rendezvousKey }

// Length of the text form of a UUID, and size of the time at its start (RFC 9562).
const (
	uuidLength   = 36
	uuidTimeSize = 6 // bytes of Unix milliseconds at the start
)

// uuidTime returns the time in a UUIDv7, or the zero time for any other text.
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
