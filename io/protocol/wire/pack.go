package wire

import (
	"bytes"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// Most texts of a head are those of earlier heads on the same lane: the team, the class, the Host header. They travel as
// an HPACK block (RFC 7541), in which a repeated text takes a byte or two.

// Names of the fields of a packed CallHead that are not HTTP headers. No HTTP header begins with a colon. The first three
// are in the static table of HPACK.
const (
	packedMethod    = ":method"
	packedPath      = ":path"
	packedAuthority = ":authority"
	packedAttempt   = ":attempt"
	packedTeam      = ":team"
	packedKey       = ":key"
	packedClass     = ":class"
	packedService   = ":service"
	packedOrigin    = ":origin"
)

// Bounds of what a lane keeps between two heads. Callers choose the headers, and a node has a lane to each peer.
const (
	maxSeenFields     = 512
	maxSeenBytes      = 64 << 10
	maxSeenFieldBytes = 1 << 10 // a longer field is not remembered, and so never enters the table of HPACK
	maxKeptBlock      = 16 << 10
	maxKeptFields     = 1 << 10
)

// maxUnpackedHead is the longest head that is unpacked, in bytes with fieldOverhead for each field. Heads of callers and of
// upstreams are at most 32 KiB long, but a packed field may take one byte only.
const (
	maxUnpackedHead = 128 << 10
	fieldOverhead   = 4
)

// HeadPacker packs the heads that are sent on one lane, in the order in which they are sent. It is not safe for
// concurrent use.
type HeadPacker struct {
	encoder *hpack.Encoder
	buf     bytes.Buffer
	seen    map[string]bool // by name, and by name and value
	seenLen int             // bytes of the keys of seen
}

// NewHeadPacker returns the packer of a new lane.
func NewHeadPacker() *HeadPacker {
	pak := &HeadPacker{seen: map[string]bool{}}
	pak.encoder = hpack.NewEncoder(&pak.buf)
	return pak
}

// add encodes one field. Only the first value of a name and values that were sent before enter the table of HPACK, so
// that identifiers, which differ from call to call, do not displace the others.
func (pak *HeadPacker) add(name, value string) {
	repeated := false
	if len(name)+len(value) <= maxSeenFieldBytes {
		repeated = pak.remember(name, value)
	}
	_ = pak.encoder.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: !repeated}) // a bytes.Buffer accepts every write
}

// remember notes a field and reports whether it is the first one of its name or was sent before.
func (pak *HeadPacker) remember(name, value string) (repeated bool) {
	if len(pak.seen) >= maxSeenFields || pak.seenLen >= maxSeenBytes {
		clear(pak.seen)
		pak.seenLen = 0
	}
	field := name + "\x00" + value
	repeated = pak.seen[field] || !pak.seen[name]
	for _, key := range [...]string{field, name} {
		if !pak.seen[key] {
			pak.seen[key] = true
			pak.seenLen += len(key)
		}
	}
	return repeated
}

func (pak *HeadPacker) addHeaders(headers []*Header) {
	for _, hdr := range headers {
		for _, value := range hdr.GetValues() {
			pak.add(hdr.GetName(), value)
		}
	}
}

// take returns the encoded fields.
func (pak *HeadPacker) take() []byte {
	block := bytes.Clone(pak.buf.Bytes())
	pak.buf.Reset()
	if pak.buf.Cap() > maxKeptBlock {
		pak.buf = bytes.Buffer{}
	}
	return block
}

// PackCall returns a copy of a head whose texts are packed.
func (pak *HeadPacker) PackCall(head *CallHead) *CallHead {
	for _, fie := range head.packedFields() {
		if *fie.value != "" {
			pak.add(fie.name, *fie.value)
		}
	}
	pak.addHeaders(head.GetHeaders())
	return &CallHead{
		RootId: head.RootId, Open: head.Open, Length: head.Length, Idempotent: head.Idempotent, IdempotencyKey: head.IdempotencyKey,
		Budget: head.Budget, Depth: head.Depth, Fingerprint: head.Fingerprint, RemainingNanos: head.RemainingNanos,
		AdmittedNanos: head.AdmittedNanos, TargetNanos: head.TargetNanos, Version: head.Version, Keyed: head.Keyed, Rank: head.Rank,
		Repeat: head.Repeat, TeamLoad: head.TeamLoad, Packed: pak.take(),
	}
}

// PackAnswer returns a copy of a head whose headers are packed.
func (pak *HeadPacker) PackAnswer(head *AnswerHead) *AnswerHead {
	pak.addHeaders(head.GetHeaders())
	return &AnswerHead{
		Status: head.Status, Reason: head.Reason, Outcome: head.Outcome, Detail: head.Detail, RetryAfterNanos: head.RetryAfterNanos,
		Feedback: head.Feedback, Packed: pak.take(),
	}
}

// packedField is a text of a CallHead that is packed.
type packedField struct {
	name  string
	value *string
}

func (x *CallHead) packedFields() []packedField {
	return []packedField{
		{packedMethod, &x.Method},
		{packedPath, &x.Path},
		{packedAuthority, &x.Authority},
		{packedAttempt, &x.CallId},
		{packedTeam, &x.Team},
		{packedKey, &x.KeyId},
		{packedClass, &x.Class},
		{packedService, &x.Service},
		{packedOrigin, &x.Origin},
	}
}

// HeadUnpacker unpacks the heads that arrive on one lane, in the order of their arrival. It is not safe for concurrent
// use.
type HeadUnpacker struct {
	decoder *hpack.Decoder
	fields  []hpack.HeaderField // of the block that is being decoded
	size    int                 // of the fields
}

// NewHeadUnpacker returns the unpacker of a new lane.
func NewHeadUnpacker() *HeadUnpacker {
	unp := &HeadUnpacker{}
	unp.decoder = hpack.NewDecoder(hpackTableBytes, unp.add)
	unp.decoder.SetMaxStringLength(MaxControlFrame)
	return unp
}

func (unp *HeadUnpacker) add(fie hpack.HeaderField) {
	if unp.size += len(fie.Name) + len(fie.Value) + fieldOverhead; unp.size > maxUnpackedHead {
		unp.decoder.SetEmitEnabled(false)
		return
	}
	unp.fields = append(unp.fields, fie)
}

// hpackTableBytes is the size of the table at both ends, which RFC 7541 gives as the initial one.
const hpackTableBytes = 4096

// decode returns the fields of a block, which are valid until the next call.
func (unp *HeadUnpacker) decode(block []byte) ([]hpack.HeaderField, error) {
	if cap(unp.fields) > maxKeptFields {
		unp.fields = nil
	}
	unp.fields, unp.size = unp.fields[:0], 0
	unp.decoder.SetEmitEnabled(true)
	_, err := unp.decoder.Write(block)
	if err == nil {
		err = unp.decoder.Close()
	}
	if err != nil {
		return nil, &DecodeError{detail: "packed head", cause: err}
	}
	if unp.size > maxUnpackedHead {
		return nil, &DecodeError{detail: "the packed head is longer than any that a node sends"}
	}
	return unp.fields, nil
}

// UnpackCall restores the packed texts of a head.
func (unp *HeadUnpacker) UnpackCall(head *CallHead) error {
	fields, err := unp.decode(head.GetPacked())
	if err != nil {
		return err
	}
	head.Packed = nil
	texts := head.packedFields()
	for _, fie := range fields {
		if !strings.HasPrefix(fie.Name, ":") {
			head.Headers = append(head.Headers, &Header{Name: fie.Name, Values: []string{fie.Value}})
			continue
		}
		for _, txt := range texts {
			if txt.name == fie.Name {
				*txt.value = fie.Value
			}
		}
	}
	return nil
}

// UnpackAnswer restores the packed headers of a head.
func (unp *HeadUnpacker) UnpackAnswer(head *AnswerHead) error {
	if head == nil {
		return &DecodeError{detail: "an answer without a head"}
	}
	fields, err := unp.decode(head.GetPacked())
	if err != nil {
		return err
	}
	head.Packed = nil
	for _, fie := range fields {
		head.Headers = append(head.Headers, &Header{Name: fie.Name, Values: []string{fie.Value}})
	}
	return nil
}
