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

// Maximum frame sizes in bytes, without the length prefix.
const (
	MaxControlFrame  = 64 << 10
	MaxBodyFrame     = 32 << 10
	MaxDocumentFrame = 16 << 20 // the longest document, compressed
	MaxLaneFrame     = 128 << 10

	// MaxLaneBody is the longest body in one lane frame; the longest head of a call or an answer fits beside it.
	MaxLaneBody = 32 << 10

	// MaxBodyFrameData is the number of data bytes that fit in a body frame beside its protobuf tags and lengths.
	MaxBodyFrameData = MaxBodyFrame - 16
)

const (
	lengthPrefixBytes    = 4
	initialBufferBytes   = 4 << 10  // capacity of a new buffer
	maxPooledBufferBytes = 64 << 10 // larger buffers, such as those that held a document, are not kept
)

// FrameSizeError reports a frame that is longer than the maximum of its kind.
type FrameSizeError struct {
	kind   string
	length int
	limit  int
}

// Length returns the length of the frame in bytes.
func (fre *FrameSizeError) Length() int { return fre.length }

// Limit returns the maximum in bytes.
func (fre *FrameSizeError) Limit() int { return fre.limit }

// Error returns the kind, the length and the maximum.
func (fre *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of kind %s has %d bytes; send at most %d bytes", fre.kind, fre.length, fre.limit)
}

// DecodeError reports a frame that is not exactly one message of the protocol.
type DecodeError struct {
	detail string
	cause  error
}

// Error returns what is wrong with the frame.
func (der *DecodeError) Error() string {
	text := "frame cannot be decoded: " + der.detail
	if der.cause != nil {
		text += ": " + der.cause.Error()
	}
	return text + "; run the same protocol version on both nodes"
}

// Unwrap returns the error of the protobuf decoder, or nil if there was none.
func (der *DecodeError) Unwrap() error { return der.cause }

// IsMalformed reports whether an error is a FrameSizeError or a DecodeError: a received frame violates the protocol, or
// a message cannot be sent as a frame.
func IsMalformed(err error) bool {
	var fre *FrameSizeError
	var der *DecodeError
	return errors.As(err, &fre) || errors.As(err, &der)
}

// kind describes one message of Frame's oneof "kind".
type kind struct {
	fieldNumber protowire.Number
	name        string
	maxBytes    int
	msgType     protoreflect.MessageType
}

// kindTable indexes the kinds by field number and by message name.
type kindTable struct {
	byNumber map[protowire.Number]*kind
	byName   map[protoreflect.FullName]*kind
	body     *kind
}

// kinds builds the table at first use, because the descriptors are set up by the init function of wire.pb.go, which
// runs after the initialization of package variables.
var kinds = sync.OnceValue(func() *kindTable {
	kta := &kindTable{byNumber: map[protowire.Number]*kind{}, byName: map[protoreflect.FullName]*kind{}}
	fields := (*Frame)(nil).ProtoReflect().Descriptor().Oneofs().ByName("kind").Fields()
	for i := range fields.Len() {
		fld := fields.Get(i)
		msgName := fld.Message().FullName()
		msgType, err := protoregistry.GlobalTypes.FindMessageByName(msgName)
		if err != nil {
			panic(err)
		}
		knd := &kind{fieldNumber: fld.Number(), name: string(msgName.Name()), maxBytes: MaxControlFrame, msgType: msgType}
		kta.byNumber[knd.fieldNumber] = knd
		kta.byName[msgName] = knd
	}
	kta.body = kta.forMessage((*Body)(nil))
	kta.body.maxBytes = MaxBodyFrame
	kta.forMessage((*Document)(nil)).maxBytes = MaxDocumentFrame
	for _, msg := range []proto.Message{(*LaneCall)(nil), (*LaneAnswer)(nil), (*LanePart)(nil)} {
		kta.forMessage(msg).maxBytes = MaxLaneFrame
	}
	return kta
})

func (kta *kindTable) forMessage(msg proto.Message) *kind {
	return kta.byName[msg.ProtoReflect().Descriptor().FullName()]
}

var bufferPool = sync.Pool{New: func() any {
	buf := make([]byte, 0, initialBufferBytes)
	return &buf
}}

func putBuffer(buf *[]byte) {
	if cap(*buf) > maxPooledBufferBytes {
		return
	}
	*buf = (*buf)[:0]
	bufferPool.Put(buf)
}

// Reader reads frames. It is not safe for concurrent use.
type Reader struct {
	src        io.Reader
	buf        *[]byte // bytes read and not yet consumed start at pos
	pos        int
	reusedBody Body  // returned for each Body frame, to save an allocation
	readErr    error // first error of Read, which all later calls return
}

// NewReader returns a reader of frames.
func NewReader(src io.Reader) *Reader {
	buf, _ := bufferPool.Get().(*[]byte)
	return &Reader{src: src, buf: buf}
}

// Read returns the message of the next frame; io.EOF means that the source ended between two frames.
// A returned *Body and its data are valid until the next call.
func (rdr *Reader) Read() (proto.Message, error) {
	if rdr.readErr != nil {
		return nil, rdr.readErr
	}
	msg, err := rdr.readFrame()
	if err != nil {
		rdr.readErr = err
	}
	return msg, err
}

// Release returns the buffer to the pool; the reader and its last message must not be used afterwards.
func (rdr *Reader) Release() {
	if rdr.buf == nil {
		return
	}
	putBuffer(rdr.buf)
	rdr.buf = nil
	rdr.readErr = io.ErrClosedPipe
}

func (rdr *Reader) readFrame() (proto.Message, error) {
	if err := rdr.fill(lengthPrefixBytes); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(rdr.unread()))
	if length > MaxDocumentFrame {
		return nil, &FrameSizeError{kind: "unknown", length: length, limit: MaxDocumentFrame}
	}
	knd, err := rdr.peekKind(length)
	if err != nil {
		return nil, err
	}
	if length > knd.maxBytes {
		return nil, &FrameSizeError{kind: knd.name, length: length, limit: knd.maxBytes}
	}
	if err := rdr.fill(lengthPrefixBytes + length); err != nil {
		return nil, unexpectedEOF(err)
	}
	payload := rdr.unread()[lengthPrefixBytes : lengthPrefixBytes+length]
	rdr.pos += lengthPrefixBytes + length
	return rdr.decode(knd, payload)
}

// peekKind reads the kind from the first tag, so that its size limit is enforced before the frame is buffered.
func (rdr *Reader) peekKind(length int) (*kind, error) {
	const maxTagBytes = 2 // field numbers of Frame are below 2048
	need := min(length, maxTagBytes)
	if need == 0 {
		return nil, &DecodeError{detail: "the frame is empty"}
	}
	if err := rdr.fill(lengthPrefixBytes + need); err != nil {
		return nil, unexpectedEOF(err)
	}
	num, wireType, tagBytes := protowire.ConsumeTag(rdr.unread()[lengthPrefixBytes : lengthPrefixBytes+need])
	if tagBytes < 0 || wireType != protowire.BytesType || kinds().byNumber[num] == nil {
		return nil, &DecodeError{detail: "its first field is not a known kind of message"}
	}
	return kinds().byNumber[num], nil
}

func (rdr *Reader) decode(knd *kind, payload []byte) (proto.Message, error) {
	_, _, tagBytes := protowire.ConsumeTag(payload)
	msgBytes, fieldBytes := protowire.ConsumeBytes(payload[tagBytes:])
	if fieldBytes < 0 || tagBytes+fieldBytes != len(payload) {
		return nil, &DecodeError{detail: "it does not hold exactly one message"}
	}
	if knd == kinds().body {
		if data, ok := bodyData(msgBytes); ok {
			rdr.reusedBody.Data = data
			return &rdr.reusedBody, nil
		}
	}
	msg := knd.msgType.New().Interface()
	if err := proto.Unmarshal(msgBytes, msg); err != nil {
		return nil, &DecodeError{detail: knd.name, cause: err}
	}
	return msg, nil
}

// bodyData returns the data of an encoded Body without a copy. It returns false for any encoding other than that single
// field; the general decoder handles those.
func bodyData(msgBytes []byte) ([]byte, bool) {
	if len(msgBytes) == 0 {
		return nil, true
	}
	num, wireType, tagBytes := protowire.ConsumeTag(msgBytes)
	if tagBytes < 0 || num != 1 || wireType != protowire.BytesType {
		return nil, false
	}
	data, fieldBytes := protowire.ConsumeBytes(msgBytes[tagBytes:])
	return data, fieldBytes >= 0 && tagBytes+fieldBytes == len(msgBytes)
}

// unread returns the buffered bytes that have not been consumed.
func (rdr *Reader) unread() []byte { return (*rdr.buf)[rdr.pos:] }

// fill reads until at least need bytes are buffered.
func (rdr *Reader) fill(need int) error {
	for len(rdr.unread()) < need {
		rdr.grow(need)
		buf := *rdr.buf
		got, err := rdr.src.Read(buf[len(buf):cap(buf)])
		*rdr.buf = buf[:len(buf)+got]
		if err != nil && len(rdr.unread()) < need {
			return rdr.endError(err)
		}
	}
	return nil
}

// endError turns io.EOF into io.ErrUnexpectedEOF when the source ended inside a frame.
func (rdr *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(rdr.unread()) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// grow makes space for a read. The buffer doubles only when it is full, so that a peer cannot make the reader allocate
// memory by announcing a length that it never sends.
func (rdr *Reader) grow(need int) {
	buf := *rdr.buf
	if rdr.pos > 0 && (rdr.pos == len(buf) || cap(buf)-rdr.pos < need) {
		buf = append(buf[:0], buf[rdr.pos:]...)
		rdr.pos = 0
	}
	if len(buf) == cap(buf) {
		buf = append(make([]byte, 0, 2*cap(buf)), buf...)
	}
	*rdr.buf = buf
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Writer buffers frames and writes them together. It is not safe for concurrent use.
type Writer struct {
	dst io.Writer
	buf *[]byte
}

// NewWriter returns a writer of frames.
func NewWriter(dst io.Writer) *Writer {
	buf, _ := bufferPool.Get().(*[]byte)
	return &Writer{dst: dst, buf: buf}
}

// Append adds one frame to the buffer; a frame longer than the maximum of its kind is not added.
func (wrt *Writer) Append(msg proto.Message) error {
	if bod, ok := msg.(*Body); ok {
		return wrt.AppendBody(bod.GetData())
	}
	knd := kinds().forMessage(msg)
	if knd == nil {
		return &DecodeError{detail: fmt.Sprintf("%T is not a kind of frame", msg)}
	}
	msgSize := proto.Size(msg)
	length := protowire.SizeTag(knd.fieldNumber) + protowire.SizeBytes(msgSize)
	if length > knd.maxBytes {
		return &FrameSizeError{kind: knd.name, length: length, limit: knd.maxBytes}
	}
	buf := wrt.appendFrameHeader(knd, length, msgSize)
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, msg)
	if err != nil {
		return &DecodeError{detail: knd.name, cause: err}
	}
	*wrt.buf = buf
	return nil
}

// AppendBody adds a Body frame with a copy of the data to the buffer.
func (wrt *Writer) AppendBody(data []byte) error {
	const dataField = 1
	knd := kinds().body
	msgSize := protowire.SizeTag(dataField) + protowire.SizeBytes(len(data))
	length := protowire.SizeTag(knd.fieldNumber) + protowire.SizeBytes(msgSize)
	if length > knd.maxBytes {
		return &FrameSizeError{kind: knd.name, length: length, limit: knd.maxBytes}
	}
	buf := wrt.appendFrameHeader(knd, length, msgSize)
	buf = protowire.AppendTag(buf, dataField, protowire.BytesType)
	*wrt.buf = protowire.AppendBytes(buf, data)
	return nil
}

// appendFrameHeader appends the length prefix of a frame and the tag and length of its message to the buffered bytes.
// The writer's buffer does not change until the caller stores the returned slice.
func (wrt *Writer) appendFrameHeader(knd *kind, length, msgSize int) []byte {
	buf := binary.BigEndian.AppendUint32(*wrt.buf, uint32(length))
	buf = protowire.AppendTag(buf, knd.fieldNumber, protowire.BytesType)
	return protowire.AppendVarint(buf, uint64(msgSize))
}

// Buffered returns the number of buffered bytes.
func (wrt *Writer) Buffered() int { return len(*wrt.buf) }

// Flush writes the buffered frames in one call.
func (wrt *Writer) Flush() error {
	if len(*wrt.buf) == 0 {
		return nil
	}
	_, err := wrt.dst.Write(*wrt.buf)
	*wrt.buf = (*wrt.buf)[:0]
	return err
}

// Write appends one frame and flushes the buffer.
func (wrt *Writer) Write(msg proto.Message) error {
	if err := wrt.Append(msg); err != nil {
		return err
	}
	return wrt.Flush()
}

// Release returns the buffer to the pool; the writer must not be used afterwards.
func (wrt *Writer) Release() {
	if wrt.buf == nil {
		return
	}
	putBuffer(wrt.buf)
	wrt.buf = nil
}
