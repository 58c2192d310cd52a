//go:build !race

package load

// slowdown is 1 without the race detector.
const slowdown = 1
