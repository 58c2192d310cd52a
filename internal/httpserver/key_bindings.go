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
	seeds [2]maphash.Seed
	start time.Time

	mu              sync.Mutex
	retention       time.Duration        // as last set
	formerRetention time.Duration        // a longer one that was set before
	formerUntil     time.Duration        // until when generations begin with formerRetention
	current         keyGeneration        // the keys that were used since its start
	previous        map[[2]uint64]string // dropped as a whole
	uncertainUntil  time.Duration        // until then, a key may have been evicted early
}

// keyGeneration holds the keys that were used in a period of one retention time.
type keyGeneration struct {
	pools     map[[2]uint64]string // by key hash
	start     time.Duration
	retention time.Duration
}

// NewKeyBindings returns KeyBindings that remember keys for the retention time. An endpoint deduplicates
// repeats of a key from when the request has run, which may be as late as the deadline. The retention time is
// therefore the sum of the longest deduplication window of any endpoint and the longest deadline.
func NewKeyBindings(retention time.Duration) *KeyBindings {
	return &KeyBindings{
		retention: retention,
		start:     time.Now(),
		seeds:     [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
		current:   keyGeneration{pools: map[[2]uint64]string{}, retention: retention},
	}
}

// now returns the current time for Bind.
func (k *KeyBindings) now() time.Duration { return time.Since(k.start) }

// SetRetention changes the retention time. Keys that were bound before are remembered for the previous time
// if that is longer, as the endpoints remember them for as long.
func (k *KeyBindings) SetRetention(retention time.Duration) { k.setRetention(retention, k.now()) }

func (k *KeyBindings) setRetention(retention, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if previous := k.retentionAt(now); retention < previous {
		// All keys bound until now are in generations that begin by now and end one retention time
		// later, at which the time of their last keys begins.
		k.formerRetention, k.formerUntil = previous, now+2*previous
	}
	k.retention = retention
	k.current.retention = max(k.current.retention, retention)
}

// Retention returns the retention time of keys that are bound now.
func (k *KeyBindings) Retention() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.retentionAt(k.now())
}

// retentionAt returns the retention time of a generation that begins now; k.mu must be held.
func (k *KeyBindings) retentionAt(now time.Duration) time.Duration {
	if now < k.formerUntil {
		return max(k.retention, k.formerRetention)
	}
	return k.retention
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
	k.rollOver(now)
	if bound, ok := k.current.pools[keyHash]; ok {
		return bound, true
	}
	if bound, ok := k.previous[keyHash]; ok {
		k.current.pools[keyHash] = bound
		return bound, true
	}
	k.current.pools[keyHash] = pool
	return pool, now >= k.uncertainUntil
}

// rollOver begins a new generation if the current one has ended or is full; k.mu must be held.
func (k *KeyBindings) rollOver(now time.Duration) {
	age, full := now-k.current.start, len(k.current.pools) >= maxKeysPerGeneration
	ended := age >= k.current.retention
	if !full && !ended {
		return
	}
	if full && !ended && len(k.previous) > 0 {
		k.uncertainUntil = max(k.uncertainUntil, now+k.current.retention)
	}
	k.previous = k.current.pools
	if age >= 2*k.current.retention {
		k.previous = nil // all keys have expired
	}
	k.current = keyGeneration{pools: map[[2]uint64]string{}, start: now, retention: k.retentionAt(now)}
}
