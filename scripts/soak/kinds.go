package main

import (
	"fmt"

	"gorselink/internal/soak"
)

// planKind is a kind of plan.
type planKind struct {
	plan    func(seed uint64) fmt.Stringer
	perform func(s *summary, seed uint64, options soak.Options) error
}

var kinds = map[string]planKind{
	"signals": {
		plan: func(seed uint64) fmt.Stringer { return soak.NewPlan(seed) },
		perform: func(s *summary, seed uint64, options soak.Options) error {
			plan := soak.NewPlan(seed)
			record, err := soak.Run(plan, options)
			if err != nil {
				return err
			}
			s.add(plan, soak.Judge(record))
			return nil
		},
	},
	"transfers": {
		plan: func(seed uint64) fmt.Stringer { return soak.NewTransferPlan(seed) },
		perform: func(s *summary, seed uint64, options soak.Options) error {
			plan := soak.NewTransferPlan(seed)
			breaks, err := soak.RunTransfers(plan, options)
			if err != nil {
				return err
			}
			s.addScripted(seed, plan, breaks)
			return nil
		},
	},
	"reloads": {
		plan: func(seed uint64) fmt.Stringer { return soak.NewReloadPlan(seed) },
		perform: func(s *summary, seed uint64, options soak.Options) error {
			plan := soak.NewReloadPlan(seed)
			breaks, err := soak.RunReloads(plan, options)
			if err != nil {
				return err
			}
			s.addScripted(seed, plan, breaks)
			return nil
		},
	},
}

// addScripted adds the verdict on a plan of transfers or reloads.
func (s *summary) addScripted(seed uint64, plan fmt.Stringer, breaks []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plans++
	if len(breaks) == 0 {
		return
	}
	s.broken++
	s.brokenSeeds = append(s.brokenSeeds, seed)
	for _, text := range breaks {
		fmt.Printf("seed %d: %s\n", seed, text)
	}
	fmt.Println(plan)
}
