package upstream

import (
	"io"
	"sync"
	"time"

	"gorselink/internal/limit"
)

// spoolChunk is the piece in which a spool takes and gives back memory.
const spoolChunk = 64 << 10

// chunks are pieces of memory for spools that nobody uses just now. A sync.Pool
// would keep as many again for the collector, which then, at the memory limit,
// runs without a pause.
type chunks struct {
	mu    sync.Mutex
	spare []*[]byte
}

func (k *chunks) get() *[]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.spare); n > 0 {
		b := k.spare[n-1]
		k.spare[n-1] = nil
		k.spare = k.spare[:n-1]
		return b
	}
	b := make([]byte, spoolChunk)
	return &b
}

func (k *chunks) put(b *[]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.spare = append(k.spare, b)
}

// trim lets go of an eighth of what nobody uses. It is called about once a
// second.
func (k *chunks) trim() {
	k.mu.Lock()
	defer k.mu.Unlock()
	keep := len(k.spare) - (len(k.spare)+7)/8
	clear(k.spare[keep:])
	k.spare = k.spare[:keep]
}

// spool reads the rest of an answer ahead of a caller that is slower than its
// endpoint. An endpoint has few connections, and turns requests away while they
// wait for callers; memory for what is left frees its connection at once. Where
// the length is known, room is taken for all that is left or not at all: many
// spools that are each half full free no connection. Otherwise it is taken piece
// by piece, and without any the spool waits for its caller.
type spool struct {
	rest *BodyStream
	hold limit.Hold

	mu     sync.Mutex
	more   sync.Cond // something has come, gone or ended
	cut    bool
	chunks []*[]byte // of which the last is being filled
	from   int       // what has been read of the first
	fill   int       // what there is in the last
	err    error     // why no more comes
	ended  chan struct{}
}

// spoolLeast is how many chunks a spool has at the least.
const spoolLeast = 2

// Spool begins to read ahead, if there is room. It tells whether it does.
func (r *BodyStream) ReadAhead() bool {
	if r.spool != nil || r.done || r.left == 0 {
		return r.spool != nil
	}
	need := int64(spoolLeast * spoolChunk)
	if r.Length >= 0 {
		need = r.left + spoolChunk // the last one is taken whole
	}
	hold, ok := r.c.target.pool.large.Reserve(need)
	if !ok {
		return false
	}
	s := &spool{rest: r, hold: hold, ended: make(chan struct{})}
	s.more.L = &s.mu
	r.spool = s
	go s.run()
	return true
}

// run reads to the end.
func (s *spool) run() {
	defer close(s.ended)
	var last *[]byte
	at := spoolChunk
	for {
		if at == spoolChunk {
			if !s.room() {
				return
			}
			last, at = s.rest.c.target.pool.chunks.get(), 0
			s.mu.Lock()
			s.chunks, s.fill = append(s.chunks, last), 0
			s.mu.Unlock()
		}
		n, err := s.rest.direct((*last)[at:])
		at += n
		s.mu.Lock()
		if err == io.EOF {
			s.rest.letGo() // the next request may have the connection
		}
		s.fill, s.err = at, err
		s.more.Broadcast()
		s.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// room waits until there is room for one more chunk, or tells that nobody wants
// it.
func (s *spool) room() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.rest.Length < 0 && !s.hold.Grow(int64(len(s.chunks)+1)*spoolChunk) && !s.cut {
		s.more.Wait()
	}
	return !s.cut
}

// read is Rest.Read.
func (s *spool) read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if len(s.chunks) > 0 {
			end := spoolChunk
			if len(s.chunks) == 1 {
				end = s.fill
			}
			if s.from < end {
				n := copy(b, (*s.chunks[0])[s.from:end])
				s.from += n
				return n, nil
			}
			if len(s.chunks) > 1 {
				s.rest.c.target.pool.chunks.put(s.chunks[0])
				s.chunks, s.from = s.chunks[1:], 0
				s.hold.Shrink(max(s.hold.Held()-spoolChunk, spoolLeast*spoolChunk))
				s.more.Broadcast()
				continue
			}
		}
		if s.err != nil {
			return 0, s.err
		}
		s.more.Wait()
	}
}

// close ends the spool, whoever is still to read from it.
func (s *spool) close() {
	s.mu.Lock()
	if s.cut = true; s.err == nil {
		s.rest.cut.Store(true)
		s.rest.c.SetDeadline(time.Unix(1, 0))
	}
	s.more.Broadcast()
	s.mu.Unlock()
	<-s.ended
	for _, b := range s.chunks {
		s.rest.c.target.pool.chunks.put(b)
	}
	s.chunks = nil
	s.hold.Release()
}
