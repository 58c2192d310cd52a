package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	maxBody = 64 << 10 // the protocol's bound

	// bodyShare: bodies may fill one part in so many of the memory. Heads,
	// answers, stacks and garbage need the rest; at 32 MB it is still room
	// for 64 of the longest bodies.
	bodyShare = 8
)

var (
	errBodyLong = fmt.Errorf("body is over %d bytes", maxBody)
	errBodyRoom = errors.New("no room for the body")
)

// bodyBudget bounds what all bodies together hold in memory, those that are
// still coming included.
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
	data   []byte
	budget *bodyBudget
	held   int64
}

// release gives the memory back.
func (b *body) release() {
	b.budget.left.Add(b.held)
	b.held, b.data = 0, nil
}

// read reads the body of req to its end. One that is too long, or finds no
// room, is not read.
func (b *bodyBudget) read(req *http.Request) (*body, error) {
	all := &body{budget: b, held: req.ContentLength}
	switch {
	case req.ContentLength == 0:
		return all, nil
	case req.ContentLength > maxBody:
		return nil, errBodyLong
	case req.ContentLength < 0: // chunked: how long shows at its end
		all.held = maxBody
	}
	if !b.reserve(all.held) {
		return nil, errBodyRoom
	}
	var err error
	if req.ContentLength > 0 {
		all.data = make([]byte, req.ContentLength)
		_, err = io.ReadFull(req.Body, all.data)
	} else {
		all.data, err = io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	}
	if err == nil && len(all.data) > maxBody {
		err = errBodyLong
	} else if err != nil {
		err = fmt.Errorf("body: %w", err)
	}
	if err != nil {
		all.release()
		return nil, err
	}
	b.left.Add(all.held - int64(len(all.data)))
	all.held = int64(len(all.data))
	return all, nil
}
