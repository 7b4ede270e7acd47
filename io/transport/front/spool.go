package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
)

const (
	spoolChunkBytes    = 16 << 10 // of an answer that are read at once
	minSpoolChunkBytes = 1 << 10
)

// budget is a number of bytes that concurrent holders share.
type budget interface {
	// Reserve takes bytes and reports whether they were left.
	Reserve(bytes int) bool
	// Release gives back bytes that Reserve took.
	Release(bytes int)
}

// budgets are several budgets from each of which the same bytes are taken.
type budgets []budget

// Reserve takes bytes from all budgets or from none.
func (bus budgets) Reserve(bytes int) bool {
	for num, bud := range bus {
		if !bud.Reserve(bytes) {
			bus[:num].Release(bytes)
			return false
		}
	}
	return true
}

// Release gives bytes back to all budgets.
func (bus budgets) Release(bytes int) {
	for _, bud := range bus {
		bud.Release(bytes)
	}
}

// spool reads the body of an answer ahead of its turn as far as the budget allows. What is left then stays with the sender
// until Read asks for it.
type spool struct {
	source     io.ReadCloser
	budget     budget
	chunkBytes int

	mut     sync.Mutex
	changed sync.Cond // reading or filled has changed
	chunks  [][]byte  // read and not delivered; the last may be followed by more
	head    int       // bytes of the first chunk that were delivered
	reading bool      // fill is reading the source
	filled  bool      // fill has returned
	direct  bool      // the answer's turn has come; fill reads no further
	err     error     // ended the source
	closed  bool
}

func newSpool(source io.ReadCloser, hdr http.Header, bud budget) *spool {
	spo := &spool{source: source, budget: bud, chunkBytes: spoolChunkBytes}
	if length, err := strconv.Atoi(hdr.Get("Content-Length")); err == nil && length >= 0 {
		spo.chunkBytes = min(max(length+1, minSpoolChunkBytes), spoolChunkBytes) // one more than its length shows its end
	}
	spo.changed.L = &spo.mut
	return spo
}

// fill reads until the budget is used up, the body ends or its turn comes.
func (spo *spool) fill() {
	spo.mut.Lock()
	defer spo.mut.Unlock()
	defer func() {
		spo.filled = true
		spo.changed.Broadcast()
	}()
	for !spo.direct && !spo.closed && spo.err == nil {
		last := len(spo.chunks) - 1
		if last < 0 || len(spo.chunks[last]) == cap(spo.chunks[last]) {
			if !spo.budget.Reserve(spo.chunkBytes) {
				return
			}
			spo.chunks = append(spo.chunks, make([]byte, 0, spo.chunkBytes))
			last++
		}
		chunk := spo.chunks[last]
		spo.reading = true
		spo.mut.Unlock()
		got, err := spo.source.Read(chunk[len(chunk):cap(chunk)])
		spo.mut.Lock()
		spo.reading = false
		if !spo.closed {
			// Chunks before it may have been delivered meanwhile, so its index may have changed.
			spo.chunks[len(spo.chunks)-1] = chunk[:len(chunk)+got]
		}
		spo.err = err
		spo.changed.Broadcast()
	}
}

// waitFilled waits until fill has returned.
func (spo *spool) waitFilled() {
	spo.mut.Lock()
	defer spo.mut.Unlock()
	for !spo.filled {
		spo.changed.Wait()
	}
}

// failed returns the error that broke the body off, as far as it was read, or nil.
func (spo *spool) failed() error {
	spo.mut.Lock()
	defer spo.mut.Unlock()
	if spo.err == nil || errors.Is(spo.err, io.EOF) {
		return nil
	}
	return spo.err
}

// Read delivers what was read ahead and then reads the source.
func (spo *spool) Read(buf []byte) (int, error) {
	spo.mut.Lock()
	defer spo.mut.Unlock()
	spo.direct = true
	for spo.reading && !spo.hasBytes() {
		spo.changed.Wait()
	}
	if spo.hasBytes() {
		return spo.deliver(buf), nil
	}
	if spo.err != nil {
		return 0, spo.err
	}
	spo.mut.Unlock()
	got, err := spo.source.Read(buf)
	spo.mut.Lock()
	spo.err = err
	return got, err
}

func (spo *spool) hasBytes() bool { return len(spo.chunks) > 0 && len(spo.chunks[0]) > spo.head }

// deliver copies bytes of the first chunk, and gives it up once it is empty and not read into.
func (spo *spool) deliver(buf []byte) int {
	got := copy(buf, spo.chunks[0][spo.head:])
	spo.head += got
	if spo.head == len(spo.chunks[0]) && (len(spo.chunks) > 1 || !spo.reading) {
		spo.dropFirst()
	}
	return got
}

func (spo *spool) dropFirst() {
	spo.chunks, spo.head = spo.chunks[1:], 0
	spo.budget.Release(spo.chunkBytes)
}

// Close gives up what was read and closes the source. The context of the answer's request must have ended if it is not read
// to its end, so that a read in progress returns.
func (spo *spool) Close() error {
	spo.mut.Lock()
	defer spo.mut.Unlock()
	if spo.closed {
		return nil
	}
	spo.closed = true
	for spo.reading {
		spo.changed.Wait()
	}
	for len(spo.chunks) > 0 {
		spo.dropFirst()
	}
	return spo.source.Close()
}
