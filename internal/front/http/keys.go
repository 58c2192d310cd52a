package httpfront

import (
	"hash/maphash"
	"sync"
	"time"
)

// keysMost bounds the keys of one span: some megabytes.
const keysMost = 32 << 10

// Keys remembers which pool a keyed request went to, for as long as a repeat
// may come. The nodes of another pool have never heard of the key: a repeat
// that a new routing table led there would run a second time. All listeners of
// a process share one Keys.
//
// Under more keys than keysMost in a span it remembers less; Bind tells then
// that it cannot be sure.
type KeyBindings struct {
	span  time.Duration
	seeds [2]maphash.Seed
	start time.Time

	mu       sync.Mutex
	new, old map[[2]uint64]string // pool by key, in two halves of which the older is dropped whole
	since    time.Duration        // of new
	gap      time.Duration        // until then keys may have been forgotten too soon
}

// NewKeys returns Keys for the longest time that any node remembers a key.
func NewKeyBindings(span time.Duration) *KeyBindings {
	return &KeyBindings{span: span, start: time.Now(), seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}, new: map[[2]uint64]string{}}
}

// now is the time of Bind.
func (k *KeyBindings) now() time.Duration { return time.Since(k.start) }

// SetSpan changes the span from now on.
func (k *KeyBindings) SetRetention(span time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.span = span
}

// keyOf is what a key is remembered by: it belongs to the resource that it was
// sent to. Two hashes leave no chance for two keys to be taken for one.
func (k *KeyBindings) keyOf(host, path, key string) (sum [2]uint64) {
	for i, seed := range k.seeds {
		var h maphash.Hash
		h.SetSeed(seed)
		for _, s := range [...]string{host, path, key} {
			h.WriteString(s)
			h.WriteByte(0) // can stand in none of them
		}
		sum[i] = h.Sum64()
	}
	return sum
}

// Bind returns the pool that a key belongs to: the one it was bound to within
// the span, or else the given one from now on. It is sure unless the key may
// have been bound before and forgotten.
func (k *KeyBindings) Bind(sum [2]uint64, pool string, now time.Duration) (bound string, sure bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if early := len(k.new) >= keysMost; early || now-k.since >= k.span {
		if early && now-k.since < k.span && len(k.old) > 0 {
			k.gap = now + k.span
		}
		if now-k.since >= 2*k.span {
			k.new = nil // all of it is out of date
		}
		k.old, k.new, k.since = k.new, map[[2]uint64]string{}, now
	}
	if bound, ok := k.new[sum]; ok {
		return bound, true
	}
	if bound, ok := k.old[sum]; ok {
		return bound, true
	}
	k.new[sum] = pool
	return pool, now >= k.gap
}
