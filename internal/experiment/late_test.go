package experiment

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"gorselink/internal/load"
)

// An instance that does not run at the time when its responses are due responds late. The late
// responses are reported with their times and arrivals, and no request counts as lost.
func TestPausedInstanceRespondsLate(t *testing.T) {
	t.Parallel()
	program := buildProgram(t)
	e, err := Parse("pause.toml", []byte(`
[instances]
count = 1
[nodes]
count = 1
[[streams]]
shape = "hold 30 100ms, hold 0 3s"
arrivals = "even"
budget = "2s"
[[events]]
at = "0s"
do = "mute"
on = "nodes"
[[events]]
at = "1800ms"
do = "stop"
on = "instances"
[[events]]
at = "2200ms"
do = "continue"
on = "instances"
[[wants]]
measure = "lost"
most = 0
[[wants]]
measure = "late"
least = 3
most = 3
[[wants]]
measure = "failed"
least = 3
most = 3
`))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	rec, err := Run(ctx, e, Options{Program: program})
	if err != nil {
		t.Fatal(err)
	}
	res := rec.Result("this", 0)
	for _, x := range res.Violations() {
		t.Error(x)
	}
	if len(res.LostRequests) != 3 {
		t.Fatalf("%d requests reported, want 3", len(res.LostRequests))
	}
	for i := range res.LostRequests {
		got := &res.LostRequests[i]
		t.Log(got)
		if len(got.Arrivals) == 0 {
			t.Error("no arrival at the node is reported, want one")
		}
		tolerance := load.LateTolerance.Seconds()
		if !slices.ContainsFunc(got.Log, func(line string) bool {
			return strings.Contains(line, "request ended abnormally") && strings.Contains(line, "took=2")
		}) {
			t.Error("the log does not say when responses were written, want a line with a duration over 2 s")
		}
		if after := got.Ended - got.Due - got.Budget; got.Outcome != load.Late.String() || after <= 0 || after > tolerance {
			t.Errorf("%v\nwant it late by at most %v s", got, tolerance)
		}
	}
}
