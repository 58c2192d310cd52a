//go:build race

package load

// slowdown is about how much slower the race detector makes the generator.
const slowdown = 10
