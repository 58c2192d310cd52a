//go:build !race

package sidecar

// raceCPUFactor is the factor by which the race detector raises CPU time.
const raceCPUFactor = 1
