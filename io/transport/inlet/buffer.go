package inlet

import (
	"math/bits"
	"sync"
)

// heldPools hold the buffers of held bytes by size, from minHeldBytes up in powers of two. Without them a head of 16 KiB leaves
// 56 KiB of garbage, which many callers with long heads make faster than the collector follows on a busy machine.
var heldPools [5]sync.Pool

// poolOf returns the pool of buffers of a size, or nil if there is none.
func poolOf(size int) *sync.Pool {
	if size < minHeldBytes || bits.OnesCount(uint(size)) != 1 {
		return nil
	}
	if num := bits.Len(uint(size / minHeldBytes)); num <= len(heldPools) {
		return &heldPools[num-1]
	}
	return nil
}

func newBuffer(size int) []byte {
	if poo := poolOf(size); poo != nil {
		if buf, ok := poo.Get().(*[]byte); ok {
			return *buf
		}
	}
	return make([]byte, size)
}

func freeBuffer(buf []byte) {
	if poo := poolOf(len(buf)); poo != nil {
		poo.Put(&buf)
	}
}
