package body

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"amaranthline/core"
)

const (
	// maxReplay is how much of a request body is kept for another attempt.
	maxReplayBytes = 64 << 10
	// maxWhole is how much of an answer is read before the caller gets its head, so that a
	// small answer that is cut short becomes an error instead of a broken connection.
	maxBufferedBytes = 64 << 10
)

// Replay is a request body that can be sent again as long as it is small.
type Replay struct {
	prefix   []byte
	rest     io.Reader
	complete bool
}

// New reads the start of a body.
func New(src io.Reader, length int64) (*Replay, error) {
	if src == nil {
		return &Replay{complete: true}, nil
	}
	size := int64(maxReplayBytes)
	if length >= 0 {
		size = min(size, length)
	}
	prefix := make([]byte, 0, min(size+1, maxReplayBytes))
	buf := bytes.NewBuffer(prefix)
	_, err := io.CopyN(buf, src, maxReplayBytes)
	if errors.Is(err, io.EOF) {
		return &Replay{prefix: buf.Bytes(), complete: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &Replay{prefix: buf.Bytes(), rest: src}, nil
}

// Reader returns the body for one attempt; only a whole body can be read twice.
func (rep *Replay) Reader() io.Reader {
	if rep.complete && len(rep.prefix) == 0 {
		return nil
	}
	if rep.complete {
		return bytes.NewReader(rep.prefix)
	}
	return io.MultiReader(bytes.NewReader(rep.prefix), rep.rest)
}

// Replayable says whether the body can be sent again.
func (rep *Replay) Replayable() bool { return rep.complete }

// Prefix returns what has been read of the body.
func (rep *Replay) Prefix() []byte { return rep.prefix }

// buffered is an answer body of which the first part has been read.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// BufferAnswer reads the first part of an answer; the error says that the answer was cut short.
func BufferAnswer(ans *core.Answer) (*core.Answer, error) {
	// MinRead beyond the announced length lets the last read find the end without growing the buffer.
	size := bytes.MinRead
	if length, err := strconv.Atoi(ans.Header().Get("Content-Length")); err == nil && length >= 0 {
		size = min(length, maxBufferedBytes) + bytes.MinRead
	}
	buf := bytes.NewBuffer(make([]byte, 0, size))
	_, err := buf.ReadFrom(io.LimitReader(ans.Body(), maxBufferedBytes))
	prefix := buf.Bytes()
	if err != nil {
		_ = ans.Body().Close()
		return nil, err
	}
	bod := bufferedBody{Reader: bytes.NewReader(prefix), Closer: ans.Body()}
	if len(prefix) == maxBufferedBytes {
		bod.Reader = io.MultiReader(bod.Reader, ans.Body())
	}
	return core.NewAnswer(ans.Status(), ans.Header(), bod, ans.Feedback), nil
}
