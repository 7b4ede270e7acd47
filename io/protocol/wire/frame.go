package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// Bounds of a frame in bytes, without the length in front of it.
const (
	MaxControlFrame  = 64 << 10
	MaxBodyFrame     = 32 << 10
	MaxDocumentFrame = 2 << 20
	MaxLaneFrame     = 128 << 10

	// MaxLaneBody is the longest body in one frame of a lane; a head of the longest kind fits beside it.
	MaxLaneBody = 32 << 10

	// MaxBodyPart is the number of data bytes that fit in a body frame next to its tags and lengths.
	MaxBodyPart = MaxBodyFrame - 16
)

const (
	prefixBytes    = 4
	startBytes     = 4 << 10  // capacity of a new buffer
	maxPooledBytes = 64 << 10 // larger buffers, which held a document, are not kept
)

// FrameSizeError says that a frame is longer than the bound of its kind.
type FrameSizeError struct {
	kind   string
	length int
	limit  int
}

// Length returns the length of the frame in bytes.
func (fse *FrameSizeError) Length() int { return fse.length }

// Limit returns the bound in bytes.
func (fse *FrameSizeError) Limit() int { return fse.limit }

// Error returns the kind, the length and the bound.
func (fse *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of kind %s has %d bytes; send at most %d", fse.kind, fse.length, fse.limit)
}

// DecodeError says that a frame is not one message of the protocol.
type DecodeError struct {
	detail string
	cause  error
}

// Error returns what is wrong with the frame.
func (der *DecodeError) Error() string {
	text := "frame does not decode: " + der.detail
	if der.cause != nil {
		text += ": " + der.cause.Error()
	}
	return text + "; run the same protocol version on both nodes"
}

// Unwrap returns the error of the protobuf decoder, or nil.
func (der *DecodeError) Unwrap() error { return der.cause }

// Malformed says whether an error means that the peer broke the framing.
func Malformed(err error) bool {
	var fse *FrameSizeError
	var der *DecodeError
	return errors.As(err, &fse) || errors.As(err, &der)
}

// kind is one member of Frame's oneof.
type kind struct {
	number protowire.Number
	name   string
	limit  int
	typ    protoreflect.MessageType
}

// kindTable indexes the kinds by field number and by message name.
type kindTable struct {
	byNumber map[protowire.Number]*kind
	byName   map[protoreflect.FullName]*kind
	body     *kind
}

// kinds reads the table at first use, because the descriptors are built in the init function of a later file.
var kinds = sync.OnceValue(func() *kindTable {
	tab := &kindTable{byNumber: map[protowire.Number]*kind{}, byName: map[protoreflect.FullName]*kind{}}
	fields := (*Frame)(nil).ProtoReflect().Descriptor().Oneofs().ByName("kind").Fields()
	for i := range fields.Len() {
		fld := fields.Get(i)
		name := fld.Message().FullName()
		typ, err := protoregistry.GlobalTypes.FindMessageByName(name)
		if err != nil {
			panic(err)
		}
		knd := &kind{number: fld.Number(), name: string(name.Name()), limit: MaxControlFrame, typ: typ}
		tab.byNumber[knd.number] = knd
		tab.byName[name] = knd
	}
	tab.body = tab.of((*Body)(nil))
	tab.body.limit = MaxBodyFrame
	tab.of((*Document)(nil)).limit = MaxDocumentFrame
	for _, msg := range []proto.Message{(*LaneCall)(nil), (*LaneAnswer)(nil), (*LanePart)(nil)} {
		tab.of(msg).limit = MaxLaneFrame
	}
	return tab
})

func (tab *kindTable) of(msg proto.Message) *kind {
	return tab.byName[msg.ProtoReflect().Descriptor().FullName()]
}

var buffers = sync.Pool{New: func() any {
	buf := make([]byte, 0, startBytes)
	return &buf
}}

func putBuffer(buf *[]byte) {
	if cap(*buf) > maxPooledBytes {
		return
	}
	*buf = (*buf)[:0]
	buffers.Put(buf)
}

// Reader reads frames. It is not safe for concurrent use.
type Reader struct {
	src   io.Reader
	buf   *[]byte // bytes read and not yet consumed start at pos
	pos   int
	body  Body
	fault error
}

// NewReader returns a reader of frames.
func NewReader(src io.Reader) *Reader {
	buf, _ := buffers.Get().(*[]byte)
	return &Reader{src: src, buf: buf}
}

// Read returns the message of the next frame; io.EOF means that the source ended between two frames.
// The data of a *Body, and the *Body itself, are valid until the next call.
func (rea *Reader) Read() (proto.Message, error) {
	if rea.fault != nil {
		return nil, rea.fault
	}
	msg, err := rea.next()
	if err != nil {
		rea.fault = err
	}
	return msg, err
}

// Release returns the buffer to the pool; the reader and its last message must not be used any more.
func (rea *Reader) Release() {
	if rea.buf == nil {
		return
	}
	putBuffer(rea.buf)
	rea.buf = nil
	rea.fault = io.ErrClosedPipe
}

func (rea *Reader) next() (proto.Message, error) {
	if err := rea.fill(prefixBytes); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(rea.rest()))
	if length > MaxDocumentFrame {
		return nil, &FrameSizeError{kind: "unknown", length: length, limit: MaxDocumentFrame}
	}
	knd, err := rea.peekKind(length)
	if err != nil {
		return nil, err
	}
	if length > knd.limit {
		return nil, &FrameSizeError{kind: knd.name, length: length, limit: knd.limit}
	}
	if err := rea.fill(prefixBytes + length); err != nil {
		return nil, inside(err)
	}
	payload := rea.rest()[prefixBytes : prefixBytes+length]
	rea.pos += prefixBytes + length
	return rea.decode(knd, payload)
}

// peekKind reads the kind from the first tag, so that the bound of the kind holds before the frame is buffered.
func (rea *Reader) peekKind(length int) (*kind, error) {
	const maxTagBytes = 2 // field numbers of Frame are below 2048
	need := min(length, maxTagBytes)
	if need == 0 {
		return nil, &DecodeError{detail: "it is empty"}
	}
	if err := rea.fill(prefixBytes + need); err != nil {
		return nil, inside(err)
	}
	num, typ, size := protowire.ConsumeTag(rea.rest()[prefixBytes : prefixBytes+need])
	if size < 0 || typ != protowire.BytesType || kinds().byNumber[num] == nil {
		return nil, &DecodeError{detail: "its kind is not known"}
	}
	return kinds().byNumber[num], nil
}

func (rea *Reader) decode(knd *kind, payload []byte) (proto.Message, error) {
	_, _, size := protowire.ConsumeTag(payload)
	inner, used := protowire.ConsumeBytes(payload[size:])
	if used < 0 || size+used != len(payload) {
		return nil, &DecodeError{detail: "it does not hold exactly one message"}
	}
	if knd == kinds().body {
		if data, ok := bodyData(inner); ok {
			rea.body.Data = data
			return &rea.body, nil
		}
	}
	msg := knd.typ.New().Interface()
	if err := proto.Unmarshal(inner, msg); err != nil {
		return nil, &DecodeError{detail: knd.name, cause: err}
	}
	return msg, nil
}

// bodyData returns the only field of a Body without a copy; other encodings take the general decoder.
func bodyData(inner []byte) ([]byte, bool) {
	if len(inner) == 0 {
		return nil, true
	}
	num, typ, size := protowire.ConsumeTag(inner)
	if size < 0 || num != 1 || typ != protowire.BytesType {
		return nil, false
	}
	data, used := protowire.ConsumeBytes(inner[size:])
	return data, used >= 0 && size+used == len(inner)
}

func (rea *Reader) rest() []byte { return (*rea.buf)[rea.pos:] }

// fill reads until at least need bytes are buffered.
func (rea *Reader) fill(need int) error {
	for len(rea.rest()) < need {
		rea.room(need)
		buf := *rea.buf
		got, err := rea.src.Read(buf[len(buf):cap(buf)])
		*rea.buf = buf[:len(buf)+got]
		if err != nil && len(rea.rest()) < need {
			return rea.ended(err)
		}
	}
	return nil
}

func (rea *Reader) ended(err error) error {
	if errors.Is(err, io.EOF) && len(rea.rest()) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// room makes space for a read. The buffer doubles only when it is full, so that a length that a peer
// announces and never sends takes no memory.
func (rea *Reader) room(need int) {
	buf := *rea.buf
	if rea.pos > 0 && (rea.pos == len(buf) || cap(buf)-rea.pos < need) {
		buf = append(buf[:0], buf[rea.pos:]...)
		rea.pos = 0
	}
	if len(buf) == cap(buf) {
		buf = append(make([]byte, 0, 2*cap(buf)), buf...)
	}
	*rea.buf = buf
}

func inside(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Writer collects frames and writes them together. It is not safe for concurrent use.
type Writer struct {
	dst io.Writer
	buf *[]byte
}

// NewWriter returns a writer of frames.
func NewWriter(dst io.Writer) *Writer {
	buf, _ := buffers.Get().(*[]byte)
	return &Writer{dst: dst, buf: buf}
}

// Append adds one frame to the buffer; a frame above the bound of its kind is not added.
func (wri *Writer) Append(msg proto.Message) error {
	if bod, ok := msg.(*Body); ok {
		return wri.AppendBody(bod.GetData())
	}
	knd := kinds().of(msg)
	if knd == nil {
		return &DecodeError{detail: fmt.Sprintf("%T is not a kind of frame", msg)}
	}
	inner := proto.Size(msg)
	length := protowire.SizeTag(knd.number) + protowire.SizeBytes(inner)
	if length > knd.limit {
		return &FrameSizeError{kind: knd.name, length: length, limit: knd.limit}
	}
	buf := wri.start(knd, length, inner)
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, msg)
	if err != nil {
		return &DecodeError{detail: knd.name, cause: err}
	}
	*wri.buf = buf
	return nil
}

// AppendBody adds a Body frame with a copy of the data to the buffer.
func (wri *Writer) AppendBody(data []byte) error {
	const dataField = 1
	knd := kinds().body
	inner := protowire.SizeTag(dataField) + protowire.SizeBytes(len(data))
	length := protowire.SizeTag(knd.number) + protowire.SizeBytes(inner)
	if length > knd.limit {
		return &FrameSizeError{kind: knd.name, length: length, limit: knd.limit}
	}
	buf := wri.start(knd, length, inner)
	buf = protowire.AppendTag(buf, dataField, protowire.BytesType)
	*wri.buf = protowire.AppendBytes(buf, data)
	return nil
}

// start appends the length and the tag of a frame to a copy of the buffer's slice.
func (wri *Writer) start(knd *kind, length, inner int) []byte {
	buf := binary.BigEndian.AppendUint32(*wri.buf, uint32(length))
	buf = protowire.AppendTag(buf, knd.number, protowire.BytesType)
	return protowire.AppendVarint(buf, uint64(inner))
}

// Buffered returns the bytes of the collected frames.
func (wri *Writer) Buffered() int { return len(*wri.buf) }

// Flush writes the collected frames in one call.
func (wri *Writer) Flush() error {
	if len(*wri.buf) == 0 {
		return nil
	}
	_, err := wri.dst.Write(*wri.buf)
	*wri.buf = (*wri.buf)[:0]
	return err
}

// Write adds one frame and writes everything collected.
func (wri *Writer) Write(msg proto.Message) error {
	if err := wri.Append(msg); err != nil {
		return err
	}
	return wri.Flush()
}

// Release returns the buffer to the pool; the writer must not be used any more.
func (wri *Writer) Release() {
	if wri.buf == nil {
		return
	}
	putBuffer(wri.buf)
	wri.buf = nil
}
