package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// ReloadPlan has reloads of a daemon of several services (serve) under open requests, and then SIGTERM.
type ReloadPlan struct {
	Seed      uint64
	Requests  []DaemonRequest
	Reloads   []Reload
	Terminate time.Duration // when SIGTERM is sent
}

// DaemonRequest is one request to a listener of the daemon. It must not run twice.
type DaemonRequest struct {
	At       time.Duration
	Listener string
	Work     time.Duration // that its endpoint takes
}

// Reload is a SIGHUP with a new configuration.
type Reload struct {
	At     time.Duration
	Config DaemonConfig
}

// DaemonConfig is what differs between the configurations of a ReloadPlan.
type DaemonConfig struct {
	IdleSeconds [2]int // idle timeout of each listener; another one replaces the listener
	HasInner    bool   // the second listener exists
	Attempts    int    // another number replaces the pools
	Pool        string // that the route leads to
}

// Listeners of the daemon, and its pools.
const (
	mainListener, innerListener = "main", "inner"
	firstPool, secondPool       = "first", "second"
)

const (
	daemonDeadline  = 3 * time.Second
	daemonRequests  = 12
	longestReloads  = 4
	reloadsFrom     = 200 * time.Millisecond // the daemon is ready, and requests are open
	reloadsTo       = 1500 * time.Millisecond
	terminateWithin = 500 * time.Millisecond // of the last reload
	longestWork     = 2500 * time.Millisecond
)

// startConfig is the configuration that a daemon is started with.
func startConfig() DaemonConfig {
	return DaemonConfig{IdleSeconds: [2]int{10, 10}, HasInner: true, Attempts: 3, Pool: firstPool}
}

// NewReloadPlan draws the plan of a seed.
func NewReloadPlan(seed uint64) *ReloadPlan {
	rng := rand.New(rand.NewPCG(seed, 0x5e7e))
	p := &ReloadPlan{Seed: seed}
	config := startConfig()
	for range 1 + rng.IntN(longestReloads) {
		p.Reloads = append(p.Reloads, Reload{At: between(rng, reloadsFrom, reloadsTo)})
	}
	slices.SortFunc(p.Reloads, func(a, b Reload) int { return int(a.At - b.At) })
	innerUntil := p.Reloads[len(p.Reloads)-1].At
	for i := range p.Reloads {
		config = drawConfig(rng, config)
		p.Reloads[i].Config = config
		if !config.HasInner {
			innerUntil = min(innerUntil, p.Reloads[i].At)
		}
	}
	last := p.Reloads[len(p.Reloads)-1].At
	p.Terminate = last + between(rng, 0, terminateWithin)
	for range daemonRequests {
		q := DaemonRequest{At: between(rng, 0, last), Listener: pick(rng, mainListener, innerListener), Work: between(rng, 0, longestWork)}
		if q.At > innerUntil-reloadsFrom/2 { // it has to be accepted before its listener is closed
			q.Listener = mainListener
		}
		p.Requests = append(p.Requests, q)
	}
	return p
}

// drawConfig draws a configuration that differs from the previous one.
func drawConfig(rng *rand.Rand, c DaemonConfig) DaemonConfig {
	switch rng.IntN(5) {
	case 0:
		c.IdleSeconds[0]++
	case 1:
		c.IdleSeconds[1]++
	case 2:
		c.HasInner = !c.HasInner
	case 3:
		c.Attempts = 7 - c.Attempts // 3 and 4
	case 4:
		c.Pool = map[string]string{firstPool: secondPool, secondPool: firstPool}[c.Pool]
	}
	return c
}

// text returns the configuration file of a daemon with these listening addresses and these endpoints of its
// two pools.
func (c *DaemonConfig) text(listen, inner string, endpoints [2]string) string {
	text := fmt.Sprintf("[process]\nname = \"soak\"\nmemory = \"256 MiB\"\ndescriptors = 512\n[classes.default]\nsemantics = \"unsafe\"\ndeadline = %q\n", daemonDeadline)
	text += listenerText(mainListener, listen, c.IdleSeconds[0])
	if c.HasInner {
		text += listenerText(innerListener, inner, c.IdleSeconds[1])
	}
	for i, name := range []string{firstPool, secondPool} {
		text += fmt.Sprintf("[pools.%s]\nnodes = [%q]\nattempts = %d\nconnections = 50\nrequests = 30\nmemory = \"50 MiB\"\n", name, endpoints[i], c.Attempts)
	}
	return text + fmt.Sprintf("[[routes]]\npool = %q\n", c.Pool)
}

func listenerText(name, address string, idleSeconds int) string {
	return fmt.Sprintf("[listeners.%s]\naddress = %q\nidle_timeout = \"%ds\"\nconnections = 100\n", name, address, idleSeconds)
}

// String describes the plan.
func (p *ReloadPlan) String() string {
	return fmt.Sprintf("seed %d, SIGTERM at %v\nrequests %+v\nreloads %+v", p.Seed, p.Terminate, p.Requests, p.Reloads)
}
