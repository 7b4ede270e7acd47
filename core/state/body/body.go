package body

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"amaranthline/core"
)

const (
	// maxReplayBytes is how much of a request body is kept in memory; only a shorter body can be sent again.
	maxReplayBytes = 64 << 10
	// maxBufferedBytes is how much of an answer body is read before the caller gets the answer's head, so that a small
	// answer that is cut short becomes an error instead of a broken connection.
	maxBufferedBytes = 64 << 10
)

// Replay is a request body that can be sent again if it is small.
type Replay struct {
	prefix   []byte
	rest     io.Reader // follows the prefix; nil if the prefix is complete
	complete bool      // the prefix is the whole body
}

// New reads the start of a body; src is nil when there is none, length is -1 when it is unknown.
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

// Reader returns the body for one attempt, or nil when it is empty. A body that is not replayable can be read once.
func (rep *Replay) Reader() io.Reader {
	if rep.complete && len(rep.prefix) == 0 {
		return nil
	}
	if rep.complete {
		return bytes.NewReader(rep.prefix)
	}
	return io.MultiReader(bytes.NewReader(rep.prefix), rep.rest)
}

// Replayable reports whether the body can be sent again.
func (rep *Replay) Replayable() bool { return rep.complete }

// Prefix returns the start of the body, or all of it if it is replayable.
func (rep *Replay) Prefix() []byte { return rep.prefix }

// bufferedBody is an answer body whose start has been read into memory.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// BufferAnswer reads the start of an answer body into memory and returns an answer with the whole body. An error means
// that the body was cut short.
func BufferAnswer(ans *core.Answer) (*core.Answer, error) {
	// MinRead bytes beyond the Content-Length let the last read reach io.EOF without growing the buffer.
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
	hasRest := len(prefix) == maxBufferedBytes
	if hasRest {
		bod.Reader = io.MultiReader(bod.Reader, ans.Body())
	}
	return ans.WithBufferedBody(bod, len(prefix), hasRest), nil
}
