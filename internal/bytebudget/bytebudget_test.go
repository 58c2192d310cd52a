package bytebudget

import (
	"sync"
	"testing"
)

// Reserve, Grow, Shrink, Release and SetTotal change the available bytes and never exceed the total.
func TestBudget(t *testing.T) {
	var b Budget
	if _, ok := b.Reserve(1); ok {
		t.Error("reserved a byte of the zero budget")
	}
	if r, ok := b.Reserve(0); !ok || r.Grow(1) {
		t.Error("zero budget: reserving 0 bytes failed, or growing to 1 byte succeeded")
	}
	b.SetTotal(100)
	r, ok := b.Reserve(60)
	if !ok || b.Available() != 40 {
		t.Fatalf("reserved 60 of 100 bytes: %t, %d available, want true and 40", ok, b.Available())
	}
	if r.Grow(101) || b.Available() != 40 {
		t.Errorf("reservation grew beyond the budget, or %d bytes available, want 40", b.Available())
	}
	if !r.Grow(80) || b.Available() != 20 || !r.Grow(10) || b.Available() != 20 {
		t.Errorf("%d bytes available after growing, want 20", b.Available())
	}
	r.Shrink(30)
	if r.Shrink(50); b.Available() != 70 {
		t.Errorf("%d bytes available after shrinking, want 70", b.Available())
	}
	b.SetTotal(20) // less than is reserved
	if _, ok := b.Reserve(1); ok || b.Available() != -10 {
		t.Errorf("reserved a byte, or %d bytes available after reducing the budget, want -10", b.Available())
	}
	r.Release()
	if r.Release(); b.Available() != 20 || b.Total() != 20 {
		t.Errorf("%d of %d bytes available after the release, want 20 of 20", b.Available(), b.Total())
	}
}

// Concurrent reservations neither lose nor create available bytes.
func TestBudgetConcurrentUse(t *testing.T) {
	var b Budget
	b.SetTotal(1000)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for range 2000 {
				r, ok := b.Reserve(int64(100 + i))
				if ok && b.Available() < -8*200 {
					t.Errorf("%d bytes available", b.Available())
				}
				r.Release()
			}
		})
	}
	wg.Wait()
	if b.Available() != 1000 {
		t.Errorf("%d bytes available at the end, want 1000", b.Available())
	}
}
