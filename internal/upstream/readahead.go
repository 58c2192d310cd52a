package upstream

import (
	"io"
	"sync"
	"time"

	"gorselink/internal/bytebudget"
)

// chunkSize is the unit in which read-ahead memory is allocated, in bytes.
const chunkSize = 64 << 10

// chunkPool keeps unused chunks for later use. A sync.Pool would keep as many again for the
// garbage collector, which runs continuously when the process is at its memory limit.
type chunkPool struct {
	mu   sync.Mutex
	free []*[]byte
}

func (p *chunkPool) get() *[]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free[n-1] = nil
		p.free = p.free[:n-1]
		return b
	}
	b := make([]byte, chunkSize)
	return &b
}

func (p *chunkPool) put(b *[]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = append(p.free, b)
}

// trim frees an eighth of the unused chunks. It is called about once a second.
func (p *chunkPool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepLocked(len(p.free) - (len(p.free)+7)/8)
}

// keep frees all but n unused chunks.
func (p *chunkPool) keep(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepLocked(n)
}

func (p *chunkPool) keepLocked(n int) {
	if n < len(p.free) {
		clear(p.free[n:])
		p.free = p.free[:n]
	}
}

// readAhead receives the rest of a response body into memory, so that a slow caller does not
// occupy the connection to the endpoint. Memory for a body of known length is reserved
// completely or not at all, because a partial read-ahead frees no connection. For other bodies
// it is reserved chunk by chunk, and reading waits for the caller if there is none.
type readAhead struct {
	stream *BodyStream
	memory bytebudget.Reservation

	mu          sync.Mutex
	changed     sync.Cond // signals data read, data consumed, or an end
	aborted     bool
	chunks      []*[]byte // the last one is being filled
	spare       *[]byte   // the next chunk, if its memory is still reserved
	readOffset  int       // consumed bytes of the first chunk
	writeOffset int       // filled bytes of the last chunk
	err         error     // why reading ended; io.EOF if the body is complete
	done        chan struct{}
}

// minReadAheadChunks is the number of chunks initially reserved for a body of unknown length, and
// the number that a readAhead always keeps reserved.
const minReadAheadChunks = 2

// ReadAhead starts to receive the rest of the body into memory if there is room for it. It
// reports whether the body is being read ahead.
func (s *BodyStream) ReadAhead() bool {
	if s.ahead != nil || s.complete || s.remaining == 0 {
		return s.ahead != nil
	}
	need := int64(minReadAheadChunks * chunkSize)
	if s.Length >= 0 {
		need = s.remaining + chunkSize // the last chunk is allocated whole
	}
	memory, ok := s.conn.target.pool.responseMemory.Reserve(need)
	if !ok {
		return false
	}
	ahead := &readAhead{stream: s, memory: memory, done: make(chan struct{})}
	ahead.changed.L = &ahead.mu
	s.ahead = ahead
	go ahead.run()
	return true
}

// run reads the body into chunks until it ends or reading fails.
func (a *readAhead) run() {
	defer close(a.done)
	var chunk *[]byte
	offset := chunkSize
	for {
		if offset == chunkSize {
			if !a.waitForMemory() {
				return
			}
			chunk, offset = a.addChunk(), 0
		}
		n, err := a.stream.readConn((*chunk)[offset:])
		offset += n
		a.mu.Lock()
		if err == io.EOF {
			a.stream.releaseConn() // before the caller has read the body, so that the next request can use it
		}
		a.writeOffset, a.err = offset, err
		a.changed.Broadcast()
		a.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// waitForMemory waits until there is memory for one more chunk. It returns false if the stream
// has been closed.
func (a *readAhead) waitForMemory() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.stream.Length < 0 && !a.memory.Grow(int64(len(a.chunks)+1)*chunkSize) && !a.aborted {
		a.changed.Wait()
	}
	return !a.aborted
}

// addChunk adds a chunk, for which memory has been reserved.
func (a *readAhead) addChunk() *[]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	chunk := a.spare
	if a.spare = nil; chunk == nil {
		chunk = a.stream.conn.target.pool.getChunk()
	}
	a.chunks, a.writeOffset = append(a.chunks, chunk), 0
	return chunk
}

// freeFirstChunk frees the first chunk, which has been read. The caller holds the mutex.
func (a *readAhead) freeFirstChunk() {
	first := a.chunks[0]
	a.chunks, a.readOffset = a.chunks[1:], 0
	before := a.memory.Size()
	a.memory.Shrink(max(before-chunkSize, minReadAheadChunks*chunkSize))
	if a.memory.Size() == before && a.spare == nil {
		a.spare = first
		return
	}
	a.stream.conn.target.pool.putChunk(first)
}

// waitForData waits until data has been received or receiving has ended.
func (a *readAhead) waitForData() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.received()) == 0 && a.err == nil {
		a.changed.Wait()
	}
}

// read copies received data for BodyStream.Read and waits if there is none.
func (a *readAhead) read(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if data := a.received(); len(data) > 0 {
			n := copy(b, data)
			a.readOffset += n
			return n, nil
		}
		if a.err != nil {
			return 0, a.err
		}
		a.changed.Wait()
	}
}

// received returns received data that has not been read, and frees chunks that have been. It is empty
// if there is none. The caller holds the mutex.
func (a *readAhead) received() []byte {
	for len(a.chunks) > 1 {
		if a.readOffset < chunkSize {
			return (*a.chunks[0])[a.readOffset:]
		}
		a.freeFirstChunk()
		a.changed.Broadcast()
	}
	if len(a.chunks) == 0 {
		return nil
	}
	return (*a.chunks[0])[a.readOffset:a.writeOffset]
}

// close stops reading at once and frees the memory.
func (a *readAhead) close() {
	a.mu.Lock()
	if a.aborted = true; a.err == nil {
		a.stream.aborted.Store(true)
		a.stream.conn.SetDeadline(time.Unix(1, 0))
	}
	a.changed.Broadcast()
	a.mu.Unlock()
	<-a.done
	a.memory.Release()
	for _, b := range a.chunks {
		a.stream.conn.target.pool.putChunk(b)
	}
	if a.spare != nil {
		a.stream.conn.target.pool.putChunk(a.spare)
	}
	a.chunks, a.spare = nil, nil
}
