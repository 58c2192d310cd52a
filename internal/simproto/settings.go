package simproto

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"gorselink/balance"
)

// Settings holds the settings of an instance by path, and the first error found while
// reading them. The simulator and the configuration of the sidecar use the same paths.
type Settings struct {
	values map[string]string
	err    error
}

// NewSettings returns Settings with values by path.
func NewSettings(values map[string]string) *Settings {
	return &Settings{values: values}
}

// ParseSettings parses space-separated path=value pairs. Unknown paths are ignored;
// missing settings are zero, and balance.New validates them.
func ParseSettings(text string) (*Settings, error) {
	values := map[string]string{}
	for _, pair := range strings.Fields(text) {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("setting %q: want path=value", pair)
		}
		values[path] = value
	}
	return NewSettings(values), nil
}

// Err returns the first error so far.
func (s *Settings) Err() error { return s.err }

// BalancerConfig returns the settings of the Balancer.
func (s *Settings) BalancerConfig() balance.Config {
	c := balance.Config{
		Index:                   s.Integer("Me"),
		Instances:               s.Integer("NInstances"),
		Zone:                    s.Integer("Zone"),
		Entry:                   s.Integer("Tier") == 0,
		CrossZonePrice:          s.number("Prices.CrossZone"),
		WorstClassWeight:        s.number("Goal.WorstClass"),
		OverQuotaWeight:         s.number("OverShareWorth"),
		AttemptLimit:            s.Integer("Limits.TryLimit"),
		AllowConcurrentAttempts: s.boolean("Limits.MayDuplicate"),
		SlowStartInitialShare:   s.number("Obligations.ColdShare"),
		SlowStartWindow:         s.Duration("Obligations.RampTimeS"),
		OverloadWindow:          s.Duration("Obligations.OverloadForS"),
		OverloadFactor:          s.number("Obligations.FallMultiple"),
		IdleConnTimeout:         s.Duration("Limits.ConnIdleS"),
		Multiplex:               s.Integer("Limits.Multiplex"),
		PullDiscovery:           s.choice("RegistryMode", "push", "ask") == 1,
		MaxWatchInterval:        s.Duration("Obligations.AskWithinS"),
	}
	for i := range s.Integer("RequestClasses.count") {
		c.Classes = append(c.Classes, s.classSettings(fmt.Sprintf("RequestClasses.%d.", i)))
	}
	for i := range s.Integer("Tenants.count") {
		c.TenantQuotas = append(c.TenantQuotas, s.number(fmt.Sprintf("Tenants.%d.QuotaPerS", i)))
	}
	return c
}

// ConnPrices returns the prices in the objective: of new connections per first attempt, and
// of the mean number of open connections divided by a hundred times the endpoints.
func (s *Settings) ConnPrices() (handshake, connection float64) {
	return s.number("Prices.Handshake"), s.number("Prices.Connection")
}

func (s *Settings) classSettings(prefix string) balance.Class {
	return balance.Class{
		LatencyTarget:       s.Duration(prefix + "AimS"),
		Deadline:            s.Duration(prefix + "DeadlineS"),
		Idempotency:         balance.Idempotency(s.choice(prefix+"Semantics", "free", "guarded", "single_shot")),
		DeduplicationScope:  balance.DeduplicationScope(s.choice(prefix+"KeyScope", "all", "zone", "cell")),
		DeduplicationWindow: s.Duration(prefix + "MemorySpanS"),
		PriorityWeight:      s.number(prefix + "Worth"),
		LateWeight:          s.number(prefix + "LateWorth"),
	}
}

// Text returns the text of a setting, or "" if it is missing.
func (s *Settings) Text(path string) string { return s.values[path] }

// AddError records that a setting is invalid, unless there is an error already.
func (s *Settings) AddError(path, want string) {
	if s.err == nil {
		s.err = fmt.Errorf("setting %s: %q, want %s", path, s.values[path], want)
	}
}

func (s *Settings) number(path string) float64 {
	text, ok := s.values[path]
	if !ok {
		return 0
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.Abs(f) > maxSeconds {
		s.AddError(path, "a number")
		return 0
	}
	return f
}

// Duration returns a setting in seconds, or 0 if it is missing.
func (s *Settings) Duration(path string) time.Duration {
	return time.Duration(math.Round(s.number(path)*1e6)) * time.Microsecond
}

// maxCount is the largest value of an integer setting.
const maxCount = 1 << 20

// Integer returns a setting that is an integer of 0 or more, or 0 if it is missing.
func (s *Settings) Integer(path string) int {
	f := s.number(path)
	if f < 0 || f > maxCount || f != math.Trunc(f) {
		s.AddError(path, "a whole number")
		return 0
	}
	return int(f)
}

func (s *Settings) boolean(path string) bool {
	return s.choice(path, "false", "true") == 1
}

// choice returns the index of the value in words. The default is the first.
func (s *Settings) choice(path string, words ...string) int {
	text, ok := s.values[path]
	if !ok {
		return 0
	}
	for i, w := range words {
		if text == w {
			return i
		}
	}
	s.AddError(path, strings.Join(words, " or "))
	return 0
}
