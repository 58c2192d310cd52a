package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// drawCallerFaults draws clients that leave, long bodies, pauses of the sidecar and responses that
// endpoints send badly.
func (p *Plan) drawCallerFaults(rng *rand.Rand, end time.Duration) {
	for i := range p.Clients {
		c := &p.Clients[i]
		if c.Style == Pipelined {
			continue
		}
		if c.Class != "view" && rng.IntN(5) == 0 {
			c.Body = pick(rng, 60_000, 200_000, 2_000_000)
			c.Pause = max(c.Pause, minLongBodyPause)
		}
		if rng.IntN(3) == 0 {
			c.Leave = drawLeave(rng, c.Class)
		}
	}
	withPauses := rng.IntN(2) == 0
	if withPauses {
		p.drawPauses(rng, end)
	}
	if rng.IntN(2) == 0 {
		from := between(rng, firstEpisode, end)
		mode := pick(rng, "cut-head", "cut-body", "trickle", "late")
		p.Endpoints = append(p.Endpoints, EndpointFault{p.faultlessEndpoint(), mode, from, between(rng, from, end)})
	}
	for _, mode := range []string{"down", "hang"} { // all endpoints at once, so that requests wait until their clients leave
		if rng.IntN(2) == 0 {
			continue
		}
		from := between(rng, firstEpisode, end)
		to := min(end, from+between(rng, minOutage, maxOutage))
		for i := range endpointCount {
			p.Endpoints = append(p.Endpoints, EndpointFault{i, mode, from, to})
		}
		if withPauses { // while requests wait
			p.Pauses = append(p.Pauses, Pause{between(rng, from, to), between(rng, minOutage, maxOutage)})
			p.dropOverlappingPauses()
		}
	}
}

// An outage of all endpoints lasts between minOutage and maxOutage.
const minOutage, maxOutage = 100 * time.Millisecond, time.Second

// minLongBodyPause is the shortest pause of a client that sends long bodies.
const minLongBodyPause = 100 * time.Millisecond

func drawLeave(rng *rand.Rand, class string) Leave {
	l := Leave{
		Every: 1 + rng.IntN(4),
		How:   pick(rng, LeaveByClose, LeaveByClose, LeaveByReset, LeaveByHalfClose),
		Where: pick(rng, LeaveWaiting, LeaveWaiting, LeaveWaiting, LeaveInHead, LeaveInBody),
		After: pick(rng, 0, time.Millisecond, 5*time.Millisecond, 20*time.Millisecond, 100*time.Millisecond),
	}
	if l.How == LeaveByHalfClose || class == "view" && l.Where == LeaveInBody {
		l.Where = LeaveWaiting
	}
	return l
}

// maxPause is the longest pause of the sidecar.
const maxPause = 2 * time.Second

// drawPauses draws pauses of the sidecar that do not overlap, of which one may follow a SIGTERM.
func (p *Plan) drawPauses(rng *rand.Rand, end time.Duration) {
	lengths := []time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, maxPause}
	for range 1 + rng.IntN(3) {
		p.Pauses = append(p.Pauses, Pause{between(rng, firstEpisode, end), between(rng, lengths[0], pick(rng, lengths...))})
	}
	if e := &p.Episodes[rng.IntN(len(p.Episodes))]; rng.IntN(2) == 0 && e.SinceStart == 0 && e.Next != NoSuccessor {
		p.Pauses = append(p.Pauses, Pause{e.end() + between(rng, 0, 500*time.Millisecond), between(rng, lengths[0], maxPause)})
	}
	p.dropOverlappingPauses()
}

// dropOverlappingPauses sorts the pauses and removes those that begin within an earlier one.
func (p *Plan) dropOverlappingPauses() {
	slices.SortFunc(p.Pauses, func(a, b Pause) int { return int(a.At - b.At) })
	kept := p.Pauses[:0]
	for _, x := range p.Pauses {
		if len(kept) == 0 || x.At > kept[len(kept)-1].end() {
			kept = append(kept, x)
		}
	}
	p.Pauses = kept
}

func (x Pause) end() time.Duration { return x.At + x.Length }

// faultlessEndpoint returns the last endpoint without a fault.
func (p *Plan) faultlessEndpoint() int {
	i := endpointCount - 1
	for slices.ContainsFunc(p.Endpoints, func(f EndpointFault) bool { return f.Endpoint == i }) {
		i--
	}
	return i
}
