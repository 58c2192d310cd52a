// Package soak runs real sidecar processes under faults, crowds of clients and series of
// signals that are drawn from a seed, and judges them by the records of clients and endpoints.
//
// A Plan is drawn from a seed alone. Run performs it and returns a Record. Judge compares the
// record with the rules of the platform.
package soak

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is what happens in one run. Times count from the moment when all clients have started.
type Plan struct {
	Seed      uint64
	Sidecar   SidecarPlan
	Endpoints []EndpointFault
	Drains    []Drain
	Discovery DiscoveryFault
	Clients   []ClientPlan
	Crowd     Crowd
	Pauses    []Pause
	Episodes  []Episode
}

// Pause is an interval in which no process of the sidecar runs.
type Pause struct{ At, Length time.Duration }

// SidecarPlan has the settings of the sidecar.
type SidecarPlan struct {
	Deadline      time.Duration // longest deadline of a class
	MemoryMB      int
	Sockets       int
	PullDiscovery bool
	Window        time.Duration `json:",omitempty"` // deduplication window; 0 for defaultWindow
}

const defaultWindow = 5 * time.Second

// EndpointFault is a fault of one endpoint.
type EndpointFault struct {
	Endpoint int
	Mode     string // a name of fakeserver.ModesByName, "slow", "late", "down" or "hang"
	From, To time.Duration
}

// Drain is the time at which discovery lists an endpoint as terminating.
type Drain struct {
	Endpoint int
	At       time.Duration
}

// DiscoveryFault is an interval in which discovery does not respond. It is zero without one.
type DiscoveryFault struct{ From, To time.Duration }

// ClientPlan describes a client that sends one request after another.
type ClientPlan struct {
	Class  string
	Budget time.Duration
	Pause  time.Duration
	Style  ClientStyle
	Body   int // bytes of the body of requests that have one; 0 for a short body
	Leave  Leave
}

// Leave describes how a client leaves some of its requests. The zero value leaves none.
type Leave struct {
	Every int // the client leaves each request of which the number is divisible by Every
	How   LeaveKind
	Where LeavePlace
	After time.Duration // from the last byte that it sends until it leaves
}

// LeaveKind is what a client does to its connection when it leaves.
type LeaveKind string

const (
	LeaveByClose     LeaveKind = "close"
	LeaveByReset     LeaveKind = "reset"
	LeaveByHalfClose LeaveKind = "half-close" // it ends its sending side and waits for the response
)

// LeavePlace is what a client has sent of a request when it leaves.
type LeavePlace string

const (
	LeaveInHead  LeavePlace = "head"
	LeaveInBody  LeavePlace = "body"
	LeaveWaiting LeavePlace = "response" // the whole request
)

// ClientStyle is how a client writes its requests.
type ClientStyle string

const (
	Plain     ClientStyle = "plain"
	Pipelined ClientStyle = "pipelined" // two requests in one write
	Pieces    ClientStyle = "pieces"    // in several writes with short pauses
)

// minPipelinedPause is the shortest pause of a client that pipelines.
const minPipelinedPause = 100 * time.Millisecond

// Crowd describes clients that use up the descriptors of the sidecar.
type Crowd struct {
	Idle     int // connections that send nothing
	Slow     int // connections that send a request byte by byte
	From, To time.Duration
}

// Successor is how the next process of a sidecar starts.
type Successor string

const (
	NoSuccessor Successor = ""        // the process goes on
	Restart     Successor = "restart" // after the exit of the process
	TakeOver    Successor = "takeover"
)

// Episode is a series of signals to the current process.
type Episode struct {
	At time.Duration
	// SinceStart is the time since the start of the current process at which the episode
	// begins, before At, if it is not 0.
	SinceStart time.Duration
	Signals    []Signal
	// Next is how the next process starts. With TakeOver it starts at At, before the signals.
	Next Successor
}

// Signal is one signal of an Episode.
type Signal struct {
	After time.Duration // since the start of the episode
	Name  string        // "HUP" or "TERM"
	// NewConfig changes the configuration before a HUP.
	NewConfig bool
}

const (
	endpointCount = 5
	firstEpisode  = 1500 * time.Millisecond // until then the usual share of served requests is measured
	// episodeGap is the time from the last signal of an episode to the next episode: the longest
	// time until SIGKILL, and the time in which a successor has to be ready.
	episodeGap = maxKillDeadline + killDelay + readyTimeout
	// quickEpisodeGap is the gap after an episode that ends no process.
	quickEpisodeGap = 500 * time.Millisecond
	// Episodes in the first second of a process begin between these times since its start. The
	// handlers of signals are installed by then.
	earlyFrom, earlyTo = 300 * time.Millisecond, time.Second
)

// classes are the request classes by idempotency.
var classes = []string{"view", "put", "pay"}

// NewPlan draws the plan of a seed.
func NewPlan(seed uint64) *Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	p := &Plan{Seed: seed}
	p.Sidecar = SidecarPlan{
		Deadline:      pick(rng, 400*time.Millisecond, time.Second, 2*time.Second, 3*time.Second),
		MemoryMB:      pick(rng, 48, 64, 128),
		Sockets:       pick(rng, 96, 192, 512),
		PullDiscovery: rng.IntN(3) == 0,
	}
	for range 1 + rng.IntN(2) {
		p.Episodes = append(p.Episodes, drawEpisode(rng, p.nextEpisodeAt()))
	}
	if last := &p.Episodes[len(p.Episodes)-1]; last.Next == Restart && rng.IntN(3) == 0 {
		early := drawEnding(rng, p.nextEpisodeAt())
		early.SinceStart = between(rng, earlyFrom, earlyTo)
		p.Episodes = append(p.Episodes, early)
	}
	if last := &p.Episodes[len(p.Episodes)-1]; last.Next == NoSuccessor { // every plan ends a process
		p.Episodes = append(p.Episodes, drawEnding(rng, p.nextEpisodeAt()))
	}
	end := p.lastSignalAt()
	p.drawFaults(rng, end)
	p.drawClients(rng)
	if rng.IntN(3) == 0 {
		from := between(rng, firstEpisode, end)
		to := min(end, from+between(rng, time.Second, 3*time.Second))
		p.Crowd = Crowd{Idle: p.Sidecar.Sockets * (1 + rng.IntN(2)), Slow: rng.IntN(20), From: from, To: to}
	}
	p.drawCallerFaults(rand.New(rand.NewPCG(seed, 0x1eaf)), end) // a source of its own, so that the rest of the plan of a seed stays
	return p
}

func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// between returns a random duration in whole milliseconds.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64((to-from)/time.Millisecond)+1))*time.Millisecond
}

// drawEpisode draws a series of signals that may end the process or not.
func drawEpisode(rng *rand.Rand, at time.Duration) Episode {
	if rng.IntN(4) > 0 {
		return drawEnding(rng, at)
	}
	first := between(rng, 0, 200*time.Millisecond)
	return Episode{At: at, Signals: []Signal{
		{first, "HUP", rng.IntN(2) == 0},
		{first + between(rng, 0, 30*time.Millisecond), "HUP", rng.IntN(2) == 0},
	}}
}

// drawEnding draws a series of signals with at least one TERM.
func drawEnding(rng *rand.Rand, at time.Duration) Episode {
	e := Episode{At: at, Next: pick(rng, Restart, TakeOver)}
	term := between(rng, 0, 1200*time.Millisecond)
	e.Signals = append(e.Signals, Signal{term, "TERM", false})
	near := func(before, after time.Duration) time.Duration {
		return max(0, term-before+between(rng, 0, before+after))
	}
	switch rng.IntN(5) {
	case 0: // during a reload
		e.Signals = append(e.Signals, Signal{near(10*time.Millisecond, 0), "HUP", true})
	case 1:
		e.Signals = append(e.Signals, Signal{near(0, 300*time.Millisecond), "HUP", true})
	case 2:
		e.Signals = append(e.Signals, Signal{near(0, time.Second), "TERM", false})
	case 3:
		for range 3 {
			e.Signals = append(e.Signals, Signal{near(100*time.Millisecond, 100*time.Millisecond), "HUP", rng.IntN(2) == 0})
		}
		e.Signals = append(e.Signals, Signal{near(0, 200*time.Millisecond), "TERM", false})
	}
	slices.SortStableFunc(e.Signals, func(a, b Signal) int { return int(a.After - b.After) })
	return e
}

// nextEpisodeAt returns the earliest time of another episode.
func (p *Plan) nextEpisodeAt() time.Duration {
	if len(p.Episodes) == 0 {
		return firstEpisode
	}
	last := &p.Episodes[len(p.Episodes)-1]
	if last.Next == NoSuccessor {
		return last.end() + quickEpisodeGap
	}
	return last.end() + episodeGap
}

func (p *Plan) lastSignalAt() time.Duration { return p.Episodes[len(p.Episodes)-1].end() }

// end returns the time of the last signal.
func (e *Episode) end() time.Duration { return e.At + e.Signals[len(e.Signals)-1].After }

// drawFaults draws faults of endpoints and discovery, and drains, that end with the last signal.
func (p *Plan) drawFaults(rng *rand.Rand, end time.Duration) {
	for _, i := range rng.Perm(endpointCount)[:rng.IntN(3)] {
		from := between(rng, firstEpisode, end)
		mode := pick(rng, "freeze", "mute", "error", "spoil", "reset", "refuse", "slow")
		p.Endpoints = append(p.Endpoints, EndpointFault{i, mode, from, between(rng, from, end)})
	}
	for i := range rng.IntN(3) {
		p.Drains = append(p.Drains, Drain{i, between(rng, firstEpisode, end)})
	}
	if rng.IntN(3) == 0 {
		from := between(rng, firstEpisode, end)
		p.Discovery = DiscoveryFault{from, min(end, from+between(rng, 500*time.Millisecond, 3*time.Second))}
	}
}

func (p *Plan) drawClients(rng *rand.Rand) {
	longest := p.Sidecar.Deadline
	for i := range 12 + rng.IntN(12) {
		c := ClientPlan{
			Class:  classes[i%len(classes)],
			Budget: pick(rng, longest, longest, longest/2, longest/4),
			Pause:  pick(rng, 5*time.Millisecond, 20*time.Millisecond, 100*time.Millisecond, 400*time.Millisecond),
			Style:  pick(rng, Plain, Plain, Plain, Plain, Pieces, Pieces, Pipelined),
		}
		if c.Style == Pipelined {
			c.Pause = max(c.Pause, minPipelinedPause)
		}
		p.Clients = append(p.Clients, c)
	}
}

// recoveryTime is the time after the last signal after which the service must be as before.
const recoveryTime = 5 * time.Second

// Duration returns how long the run takes: until the recovery has been measured.
func (p *Plan) Duration() time.Duration {
	last := p.lastSignalAt()
	for _, x := range p.Pauses {
		last = max(last, x.end())
	}
	return last + recoveryTime + recoveryWindow
}

// recoveryWindow is the interval in which the share of served requests is measured.
const recoveryWindow = time.Second

// String returns the plan as JSON.
func (p *Plan) String() string {
	text, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}
