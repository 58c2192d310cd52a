package limit

import (
	"sync"
	"testing"
)

func TestBytes(t *testing.T) {
	var b Bytes
	if _, ok := b.Reserve(1); ok {
		t.Error("the zero budget gave a byte")
	}
	if h, ok := b.Reserve(0); !ok || h.Grow(1) {
		t.Error("nothing is free, and one byte is not")
	}
	b.SetTotal(100)
	h, ok := b.Reserve(60)
	if !ok || b.Available() != 40 {
		t.Fatalf("%t, %d left", ok, b.Available())
	}
	if h.Grow(101) || b.Available() != 40 {
		t.Errorf("grew past the budget, %d left", b.Available())
	}
	if !h.Grow(80) || b.Available() != 20 || !h.Grow(10) || b.Available() != 20 {
		t.Errorf("%d left, want 20", b.Available())
	}
	h.Shrink(30)
	if h.Shrink(50); b.Available() != 70 {
		t.Errorf("%d left after shrinking, want 70", b.Available())
	}
	b.SetTotal(20) // less than is held
	if _, ok := b.Reserve(1); ok || b.Available() != -10 {
		t.Errorf("%d left after a cut, want -10", b.Available())
	}
	h.Release()
	if h.Release(); b.Available() != 20 || b.Total() != 20 {
		t.Errorf("%d of %d left at the end", b.Available(), b.Total())
	}
}

// Many that take and give at once never hold more than there is, and leave all.
func TestBytesTogether(t *testing.T) {
	var b Bytes
	b.SetTotal(1000)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for range 2000 {
				h, ok := b.Reserve(int64(100 + i))
				if ok && b.Available() < -8*200 {
					t.Errorf("%d left", b.Available())
				}
				h.Release()
			}
		})
	}
	wg.Wait()
	if b.Available() != 1000 {
		t.Errorf("%d left, want all", b.Available())
	}
}
