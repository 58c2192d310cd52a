package httpserver

import (
	"hash/maphash"
	"sync"
	"time"
)

// maxKeysPerGeneration limits the memory for keys to a few megabytes.
const maxKeysPerGeneration = 32 << 10

// KeyBindings, shared by all listeners of a process, remembers which pool each
// idempotency key was last sent to. Endpoints of another pool do not know the key, so a
// repeat that a new routing table sent there would run twice. If more than
// maxKeysPerGeneration keys arrive within the retention time, keys are evicted early
// and Bind reports uncertainty.
type KeyBindings struct {
	retention time.Duration
	seeds     [2]maphash.Seed
	start     time.Time

	mu                sync.Mutex
	current, previous map[[2]uint64]string // pool by key hash; previous is dropped as a whole
	generationStart   time.Duration        // when current was started
	uncertainUntil    time.Duration        // until then, a key may have been evicted early
}

// NewKeyBindings returns KeyBindings that remember keys for the retention time. An endpoint deduplicates
// repeats of a key from when the request has run, which may be as late as the deadline. The retention time is
// therefore the sum of the longest deduplication window of any endpoint and the longest deadline.
func NewKeyBindings(retention time.Duration) *KeyBindings {
	return &KeyBindings{retention: retention, start: time.Now(), seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}, current: map[[2]uint64]string{}}
}

// now returns the current time for Bind.
func (k *KeyBindings) now() time.Duration { return time.Since(k.start) }

// SetRetention changes the retention time.
func (k *KeyBindings) SetRetention(retention time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retention = retention
}

// hash returns the value by which a key is remembered. A key belongs to the resource
// that it was sent to. Two hashes rule out collisions in practice.
func (k *KeyBindings) hash(host, path, key string) (sum [2]uint64) {
	for i, seed := range k.seeds {
		var h maphash.Hash
		h.SetSeed(seed)
		for _, s := range [...]string{host, path, key} {
			h.WriteString(s)
			h.WriteByte(0) // separator that occurs in none of the parts
		}
		sum[i] = h.Sum64()
	}
	return sum
}

// Bind returns the pool that a key was bound to within the retention time; a new key is
// bound to the given pool. The retention time begins anew. certain is false if the key may have been
// bound before and evicted.
func (k *KeyBindings) Bind(keyHash [2]uint64, pool string, now time.Duration) (bound string, certain bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if full := len(k.current) >= maxKeysPerGeneration; full || now-k.generationStart >= k.retention {
		if full && now-k.generationStart < k.retention && len(k.previous) > 0 {
			k.uncertainUntil = now + k.retention
		}
		if now-k.generationStart >= 2*k.retention {
			k.current = nil // all keys have expired
		}
		k.previous, k.current, k.generationStart = k.current, map[[2]uint64]string{}, now
	}
	if bound, ok := k.current[keyHash]; ok {
		return bound, true
	}
	if bound, ok := k.previous[keyHash]; ok {
		k.current[keyHash] = bound
		return bound, true
	}
	k.current[keyHash] = pool
	return pool, now >= k.uncertainUntil
}
