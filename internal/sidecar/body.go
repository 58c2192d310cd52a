package sidecar

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	maxBody   = 32 << 20 // the protocol's bound
	bodyChunk = 64 << 10
	bodyShare = 3 // bodies may fill one part in so many of the memory; the rest is for heads, answers and garbage

	// A body may come at 64 kB a second. One that falls behind half of that
	// by bodyPause has stalled; a bound on each read alone would let a client
	// that sends a byte now and then hold its memory for days.
	bodyRate  = 32 << 10
	bodyPause = 10 * time.Second
)

var (
	errBodyLong = fmt.Errorf("body is over %d bytes", maxBody)
	errBodyRoom = errors.New("no room for the body")
)

// bodyBudget bounds what all bodies together hold in memory.
type bodyBudget struct {
	left atomic.Int64
}

func (b *bodyBudget) reserve(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

// body is a whole request body.
type body struct {
	chunks [][]byte
	length int64
	budget *bodyBudget
	held   int64
}

// reader reads the body from its start.
func (b *body) reader() io.Reader {
	readers := make([]io.Reader, len(b.chunks))
	for i, c := range b.chunks {
		readers[i] = bytes.NewReader(c)
	}
	return io.MultiReader(readers...)
}

// release gives the memory back.
func (b *body) release() {
	b.budget.left.Add(b.held)
	b.held, b.chunks = 0, nil
}

// read reads the body of req to its end. One that finds no room is read off
// all the same: its client would take a connection closed on it for a failure,
// and hears of the refusal only when it has written everything.
func (b *bodyBudget) read(rc *http.ResponseController, req *http.Request) (*body, error) {
	all := &body{budget: b}
	if req.ContentLength == 0 {
		return all, nil
	}
	if req.ContentLength > maxBody {
		return nil, errBodyLong
	}
	err := all.fill(rc, req)
	if err != nil {
		all.release()
		return nil, err
	}
	return all, nil
}

func (b *body) fill(rc *http.ResponseController, req *http.Request) error {
	start := time.Now()
	// The server's own reading after the body must not meet this deadline.
	defer rc.SetReadDeadline(time.Time{})
	var chunk []byte // the free end of the last one
	room := true
	for {
		if len(chunk) == 0 {
			size := int64(bodyChunk)
			if left := req.ContentLength - b.length; left > 0 {
				size = min(size, left)
			}
			if room && b.budget.reserve(size) {
				b.held += size
				chunk = make([]byte, size)
				b.chunks = append(b.chunks, chunk[:0])
			} else {
				room = false
				chunk = make([]byte, bodyChunk)
				b.release()
			}
		}
		rc.SetReadDeadline(start.Add(bodyPause + time.Duration(b.length)*time.Second/bodyRate))
		n, err := req.Body.Read(chunk)
		b.length += int64(n)
		if b.length > maxBody {
			return errBodyLong
		}
		if room {
			last := &b.chunks[len(b.chunks)-1]
			*last = (*last)[:len(*last)+n]
			chunk = chunk[n:]
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return fmt.Errorf("body: %w", err)
		}
	}
	if !room {
		return errBodyRoom
	}
	return nil
}
