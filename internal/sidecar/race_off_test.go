//go:build !race

package sidecar

// detectorCost is how many times the processor time the race detector makes a process use.
const detectorCost = 1
