package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// TransferPlan has requests with a key and long bodies, whose first attempts are reset after they have run,
// and responses of unknown length that take about as long as their clients wait. A sidecar serves them.
type TransferPlan struct {
	Seed      uint64
	Window    time.Duration // in which endpoints deduplicate a key
	Transfers []Transfer
}

// Transfer is one request of a TransferPlan.
type Transfer struct {
	At     time.Duration
	Budget time.Duration
	Upload *Upload   // nil for a Download
	Down   *Download // nil for an Upload
}

// Upload is a request with a key.
type Upload struct {
	Size       int           // bytes
	ResetAfter time.Duration // from its effect until its connection is reset
	Pause      time.Duration // of the endpoint after each piece of a retry's body
}

// Download is a response of unknown length.
type Download struct {
	Size, Parts int
	Pause       time.Duration // between two parts
	UntilClose  bool          // its end is that of the connection
}

const (
	transferCount   = 16
	transferSpacing = 400 * time.Millisecond // keeps the bodies that are held at a time within the memory
	uploadBudget    = 3 * time.Second

	// maxDownloadPause is the longest pause of an endpoint that is not taken for one that hangs.
	maxDownloadPause = time.Second
	// minDownloadRate is above the rate at which a response that has begun is cut off, in bytes per second.
	minDownloadRate = 1 << 10
)

// NewTransferPlan draws the plan of a seed.
func NewTransferPlan(seed uint64) *TransferPlan {
	rng := rand.New(rand.NewPCG(seed, 0x7a45))
	p := &TransferPlan{Seed: seed, Window: pick(rng, 500*time.Millisecond, time.Second, 2*time.Second)}
	for i := range transferCount {
		t := Transfer{At: time.Duration(i) * transferSpacing}
		if i%2 == 0 {
			t.Budget, t.Upload = uploadBudget, drawUpload(rng, p.Window)
		} else {
			t.Budget = pick(rng, 480*time.Millisecond, 800*time.Millisecond, 1500*time.Millisecond)
			t.Down = drawDownload(rng, t.Budget)
		}
		p.Transfers = append(p.Transfers, t)
	}
	return p
}

func drawUpload(rng *rand.Rand, window time.Duration) *Upload {
	return &Upload{
		Size:       pick(rng, 3_000, 60_000, 1<<20, 4<<20, 8<<20),
		ResetAfter: between(rng, 0, window),
		Pause:      pick(rng, 0, 2*time.Millisecond, 6*time.Millisecond, 12*time.Millisecond, 25*time.Millisecond),
	}
}

// drawDownload draws a response that takes from half to several times the budget.
func drawDownload(rng *rand.Rand, budget time.Duration) *Download {
	d := &Download{Size: pick(rng, 2_000, 50_000, 128<<10, 600_000), UntilClose: rng.IntN(2) == 0}
	total := time.Duration(float64(budget) * pick(rng, 0.5, 0.95, 1.05, 1.5, 3, 5))
	total = min(total, time.Duration(d.Size)*time.Second/minDownloadRate)
	d.Pause = min(between(rng, 10*time.Millisecond, maxDownloadPause), total/2)
	d.Parts = int(total/d.Pause) + 1
	return d
}

// String describes the plan, one line for each transfer.
func (p *TransferPlan) String() string {
	text := fmt.Sprintf("seed %d, window %v", p.Seed, p.Window)
	for i := range p.Transfers {
		text += "\n" + p.Transfers[i].String()
	}
	return text
}

// String describes the transfer.
func (t *Transfer) String() string {
	if t.Upload != nil {
		return fmt.Sprintf("at %v, budget %v: upload %+v", t.At, t.Budget, *t.Upload)
	}
	return fmt.Sprintf("at %v, budget %v: download %+v", t.At, t.Budget, *t.Down)
}

// method returns the method of the request.
func (t *Transfer) method() string {
	if t.Upload != nil {
		return http.MethodPost
	}
	return http.MethodGet
}

// target returns the request target, which tells the endpoint what to do.
func (t *Transfer) target() string {
	query := url.Values{}
	set := func(name string, value int64) { query.Set(name, strconv.FormatInt(value, 10)) }
	if u := t.Upload; u != nil {
		set(queryReset, u.ResetAfter.Milliseconds())
		set(queryBodyPause, u.Pause.Milliseconds())
		return "/put?" + query.Encode()
	}
	set(querySize, int64(t.Down.Size))
	set(queryParts, int64(t.Down.Parts))
	set(queryPartPause, t.Down.Pause.Milliseconds())
	if t.Down.UntilClose {
		set(queryUntilClose, 1)
	}
	return "/view?" + query.Encode()
}
