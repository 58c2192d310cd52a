// Command soak runs real sidecar processes under faults, crowds and series of signals that are
// drawn from seeds, and judges them by the rules of the platform.
//
//	go run ./scripts/soak -seeds 1-50
//	go run ./scripts/soak -seeds 1-10 -before OTHER_BUILD
//	go run ./scripts/soak -seeds 7 -plan
//	go run ./scripts/soak -seeds 1-20 -kind transfers
//
// It exits with status 1 if a rule was broken. The logs of all processes stay in the directory
// that it prints.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"gorselink/internal/soak"
)

func main() {
	seeds := flag.String("seeds", "1-50", "seeds, as `FROM-TO` or a single one")
	program := flag.String("program", "", "build of the sidecar; built from this tree if empty")
	before := flag.String("before", "", "build of the first process of each plan; the same if empty")
	parallel := flag.Int("parallel", 3, "plans that run at the same time")
	kind := flag.String("kind", "signals", "of the plans: signals, transfers or reloads")
	printPlan := flag.Bool("plan", false, "print the plans and run nothing")
	flag.Parse()
	from, to, err := parseSeeds(*seeds)
	if err != nil {
		fail(err)
	}
	selected, known := kinds[*kind]
	if !known {
		fail(fmt.Errorf("-kind: found %q, want signals, transfers or reloads", *kind))
	}
	if *printPlan {
		for seed := from; seed <= to; seed++ {
			fmt.Println(selected.plan(seed))
		}
		return
	}
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		fail(err)
	}
	fmt.Println("logs:", dir)
	if *program == "" {
		*program = filepath.Join(dir, "gorselink")
		build := exec.Command("go", "build", "-o", *program, "./cmd/gorselink")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			fail(err)
		}
	}
	s := &summary{signals: map[string]int{}, excuses: map[string]int{}}
	s.runAll(selected, from, to, *parallel, soak.Options{Program: *program, Predecessor: *before, Dir: dir})
	s.print()
	if s.broken > 0 {
		os.Exit(1)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "soak:", err)
	os.Exit(2)
}

func parseSeeds(text string) (from, to uint64, err error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	if from, err = strconv.ParseUint(first, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("-seeds: %w", err)
	}
	if to, err = strconv.ParseUint(last, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("-seeds: %w", err)
	}
	return from, to, nil
}

// summary adds up the verdicts of all plans.
type summary struct {
	mu                              sync.Mutex
	plans, broken, requests, served int
	signals, excuses                map[string]int
	brokenSeeds                     []uint64
}

// runAll runs the plans of all seeds, several at a time.
func (s *summary) runAll(selected planKind, from, to uint64, parallel int, options soak.Options) {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for slot := range parallel {
		workers.Go(func() {
			for seed := range seeds {
				own := options
				own.Slot, own.Dir = slot, filepath.Join(options.Dir, fmt.Sprintf("seed-%d", seed))
				if err := selected.perform(s, seed, own); err != nil {
					s.addError(seed, err)
				}
			}
		})
	}
	for seed := from; seed <= to; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
}

func (s *summary) addError(seed uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plans++
	s.broken++
	s.brokenSeeds = append(s.brokenSeeds, seed)
	fmt.Printf("seed %d: not run: %v\n", seed, err)
}

func (s *summary) add(plan *soak.Plan, v *soak.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plans++
	s.requests += v.Requests
	s.served += v.Served
	for reason, n := range v.Excuses {
		s.excuses[reason] += n
	}
	s.signals["pause"] += len(plan.Pauses)
	for i := range plan.Episodes {
		e := &plan.Episodes[i]
		if e.Next != soak.NoSuccessor {
			s.signals["ending by "+string(e.Next)]++
		}
		for _, signal := range e.Signals {
			s.signals["SIG"+signal.Name]++
		}
	}
	fmt.Printf("seed %d: %d requests, %d served, share %.2f before and %.2f after, %d breaks, excuses %v\n", plan.Seed, v.Requests, v.Served, v.Before, v.After, len(v.Breaks), v.Excuses)
	const maxBreaks = 10
	for _, text := range v.Breaks[:min(len(v.Breaks), maxBreaks)] {
		fmt.Println("\t" + text)
	}
	if len(v.Breaks) > 0 {
		s.broken++
		s.brokenSeeds = append(s.brokenSeeds, plan.Seed)
		fmt.Println("plan:", plan)
	}
}

func (s *summary) print() {
	slices.Sort(s.brokenSeeds)
	fmt.Printf("%d plans, %d requests, %d served; signals and endings %v; excuses %v\n", s.plans, s.requests, s.served, s.signals, s.excuses)
	fmt.Printf("%d plans broke a rule: seeds %v\n", s.broken, s.brokenSeeds)
}
