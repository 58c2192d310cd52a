package soak

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Seeds of the plans that the test suite performs. go run ./scripts/soak runs more of them.
const (
	transferSeeds = 4
	reloadSeeds   = 6
)

// runScripted performs the plans of the seeds from 1 on, several at a time.
func runScripted(t *testing.T, seeds uint64, perform func(seed uint64, options Options) (plan fmt.Stringer, breaks []string, err error)) {
	program := filepath.Join(t.TempDir(), "gorselink")
	if out, err := exec.Command("go", "build", "-o", program, "gorselink/cmd/gorselink").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	slots := make(chan int, parallelPlans)
	for slot := range parallelPlans {
		slots <- slot
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			slot := <-slots
			defer func() { slots <- slot }()
			plan, breaks, err := perform(seed, Options{Program: program, Dir: t.TempDir(), Slot: slot})
			if err != nil {
				t.Fatal(err)
			}
			for _, text := range breaks {
				t.Error(text)
			}
			if t.Failed() {
				t.Logf("plan: %s", plan)
			}
		})
	}
}

// A sidecar repeats keyed requests with long bodies only while they are deduplicated, and does not cut off
// responses that take longer than their clients wait.
func TestTransfers(t *testing.T) {
	runScripted(t, transferSeeds, func(seed uint64, options Options) (fmt.Stringer, []string, error) {
		plan := NewTransferPlan(seed)
		breaks, err := RunTransfers(plan, options)
		return plan, breaks, err
	})
}

// A daemon answers all requests that are open when reloads replace its listeners, pools and routes, and SIGTERM
// follows.
func TestReloads(t *testing.T) {
	runScripted(t, reloadSeeds, func(seed uint64, options Options) (fmt.Stringer, []string, error) {
		plan := NewReloadPlan(seed)
		breaks, err := RunReloads(plan, options)
		return plan, breaks, err
	})
}

// A seed always gives the same plans, and a response of theirs is given faster and with shorter pauses than a
// sidecar requires.
func TestScriptedPlansAreReproducible(t *testing.T) {
	for seed := range uint64(100) {
		transfers, reloads := NewTransferPlan(seed), NewReloadPlan(seed)
		if transfers.String() != NewTransferPlan(seed).String() || reloads.String() != NewReloadPlan(seed).String() {
			t.Fatalf("seed %d: two plans differ", seed)
		}
		for i := range transfers.Transfers {
			d := transfers.Transfers[i].Down
			if d != nil && (d.Pause > maxDownloadPause || d.Size/d.Parts < int(d.Pause.Seconds()*minDownloadRate/2)) {
				t.Errorf("seed %d: %+v is slower than allowed", seed, *d)
			}
		}
	}
}

// The judge finds each violation of a transfer.
func TestJudgeTransfer(t *testing.T) {
	upload := Transfer{Budget: time.Second, Upload: &Upload{}}
	download := Transfer{Budget: time.Second, Down: &Download{Size: 9}}
	for _, c := range []struct {
		name     string
		transfer Transfer
		result   scriptedResult
		want     string
	}{
		{"served", upload, scriptedResult{status: 200, whole: true, effects: 1}, ""},
		{"rejected", upload, scriptedResult{status: 503, whole: true, effects: 1}, ""},
		{"no answer", upload, scriptedResult{problem: errors.New("reset")}, "no answer"},
		{"twice", upload, scriptedResult{status: 200, effects: 2}, "happened 2 times"},
		{"late", upload, scriptedResult{status: 503, took: 2 * time.Second}, "late answer"},
		{"whole", download, scriptedResult{status: 200, bytes: 9, whole: true, took: time.Minute}, ""},
		{"cut off", download, scriptedResult{status: 200, bytes: 8}, "cut off"},
	} {
		if got := judgeTransfer(&c.transfer, &c.result); c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
