package upstream

import (
	"errors"
	"sync"

	"gorselink/internal/bytebudget"
	"gorselink/internal/http1"
)

const (
	// firstBodyBytes is the size of the buffer for a body of unknown length for which nothing is
	// reserved.
	firstBodyBytes = 4 << 10

	// minCopyBytes is the size of a CopyBuffer for which nothing is reserved. Much shorter writes
	// make a connection slow whose peer has a small receive buffer.
	minCopyBytes = 16 << 10
)

// minCopyBuffers holds buffers of minCopyBytes.
var minCopyBuffers = sync.Pool{New: func() any { b := make([]byte, minCopyBytes); return &b }}

// reserveBuffer reserves n bytes for the body of a short response.
func (p *Pool) reserveBuffer(n int64) (bytebudget.Reservation, bool) {
	memory, ok := p.bufferMemory.Reserve(n)
	if ok {
		p.dropUnusedChunks()
	}
	return memory, ok
}

// freeHeadBytes is the memory of a response's head for which nothing is reserved. The longest head needs
// it with some 50 fields.
const freeHeadBytes = 10 << 10

// errNoHeadMemory means that the head of a response has so many fields that there is no memory for it.
var errNoHeadMemory = errors.New("no memory available for the response head")

// reserveHead reserves the memory for a response head that has not been parsed yet.
func (p *Pool) reserveHead(raw []byte) (bytebudget.Reservation, bool) {
	return p.bufferMemory.Reserve(max(0, int64(len(raw))+http1.FieldMemory(raw)-freeHeadBytes))
}

// moveHeadMemory leaves the memory of the head to resp, or frees it if resp is nil.
func (c *conn) moveHeadMemory(resp *Response) {
	if resp == nil {
		c.headMemory.Release()
	} else {
		resp.head, c.headMemory = c.headMemory, bytebudget.Reservation{}
	}
	c.responseHead = http1.Head{}
}

// getChunk returns a chunk for which memory has been reserved.
func (p *Pool) getChunk() *[]byte { return p.chunks.get() }

// putChunk takes a chunk back. Release its reservation first: a chunk is kept for later use only as
// long as its memory is available.
func (p *Pool) putChunk(b *[]byte) {
	p.chunks.put(b)
	p.dropUnusedChunks()
}

// dropUnusedChunks frees unused chunks, so that they and what is reserved stay within the budgets.
func (p *Pool) dropUnusedChunks() {
	available := max(0, p.bufferMemory.Available()) + max(0, p.responseMemory.Available())
	p.chunks.keep(int(available / chunkSize))
}

// bodyBuffer holds the beginning of a response body of unknown length. The zero value is empty and
// needs no release.
type bodyBuffer struct {
	pool   *Pool
	data   []byte
	chunk  *[]byte // holds data if it is longer than firstBodyBytes
	memory bytebudget.Reservation
}

func newBodyBuffer(p *Pool) bodyBuffer {
	return bodyBuffer{pool: p, data: make([]byte, 0, firstBodyBytes)}
}

// grow extends the capacity to chunkSize and reports whether there was memory for it.
func (b *bodyBuffer) grow() bool {
	memory, ok := b.pool.bufferMemory.Reserve(chunkSize)
	if !ok {
		return false
	}
	b.memory, b.chunk = memory, b.pool.getChunk()
	b.data = append((*b.chunk)[:0], b.data...)
	return true
}

// release frees the memory. The data must not be used any more.
func (b *bodyBuffer) release() {
	b.memory.Release()
	if b.chunk != nil {
		b.pool.putChunk(b.chunk)
	}
	*b = bodyBuffer{}
}

// CopyBuffer is a buffer for forwarding a body piece by piece. Its size depends on the available
// memory and is at least minCopyBytes.
type CopyBuffer struct {
	pool   *Pool
	data   *[]byte
	memory bytebudget.Reservation // empty for a buffer of minCopyBytes
}

// newCopyBuffer returns a buffer, which the caller must release. Half of the memory for buffers is
// left to short responses.
func (p *Pool) newCopyBuffer() *CopyBuffer {
	if p.bufferMemory.Available()-chunkSize >= p.bufferMemory.Total()/2 {
		if memory, ok := p.bufferMemory.Reserve(chunkSize); ok {
			return &CopyBuffer{pool: p, data: p.getChunk(), memory: memory}
		}
	}
	return &CopyBuffer{pool: p, data: minCopyBuffers.Get().(*[]byte)}
}

// Bytes returns the buffer. It is valid until the call of Release.
func (b *CopyBuffer) Bytes() []byte { return *b.data }

// Release frees the memory.
func (b *CopyBuffer) Release() {
	if b.memory.Size() == 0 {
		minCopyBuffers.Put(b.data)
		return
	}
	b.memory.Release()
	b.pool.putChunk(b.data)
}
