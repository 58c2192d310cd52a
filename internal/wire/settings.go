package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"gorselink/balance"
)

// Settings is the settings of an instance by path, and the first error met in
// reading them. The simulator and the real sidecar's configuration use the
// same names, so both are read here.
type Settings struct {
	values map[string]string
	err    error
}

// NewSettings returns the settings that values holds by path.
func NewSettings(values map[string]string) *Settings {
	return &Settings{values: values}
}

// ParseSettings reads the settings of a started instance. Unknown ones are
// ignored and missing ones stay zero, for balance.New to judge.
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

// Err is the first error met so far.
func (s *Settings) Err() error { return s.err }

// Balance is the part of the settings that the Balancer needs.
func (s *Settings) BalancerConfig() balance.Config {
	c := balance.Config{
		Index:                   s.Integer("Me"),
		Instances:               s.Integer("NInstances"),
		Zone:                    s.Integer("Zone"),
		Entry:                   s.Integer("Tier") == 0,
		CrossZonePrice:          s.number("Prices.CrossZone"),
		WorstClassWeight:        s.number("Goal.WorstClass"),
		OverQuotaWorth:          s.number("OverShareWorth"),
		AttemptLimit:            s.Integer("Limits.TryLimit"),
		AllowConcurrentAttempts: s.boolean("Limits.MayDuplicate"),
		ColdShare:               s.number("Obligations.ColdShare"),
		RampTime:                s.Duration("Obligations.RampTimeS"),
		OverloadWindow:          s.Duration("Obligations.OverloadForS"),
		OverloadFactor:          s.number("Obligations.FallMultiple"),
		IdleConnTimeout:         s.Duration("Limits.ConnIdleS"),
		Multiplex:               s.Integer("Limits.Multiplex"),
		PullDiscovery:           s.choice("RegistryMode", "push", "ask") == 1,
		MaxWatchInterval:        s.Duration("Obligations.AskWithinS"),
	}
	for i := range s.Integer("RequestClasses.count") {
		c.Classes = append(c.Classes, s.class(fmt.Sprintf("RequestClasses.%d.", i)))
	}
	for i := range s.Integer("Tenants.count") {
		c.TenantQuotas = append(c.TenantQuotas, s.number(fmt.Sprintf("Tenants.%d.QuotaPerS", i)))
	}
	return c
}

// ConnPrices are what the goal charges for new connections, by first try, and for open
// ones on average, over a hundred times the endpoints.
func (s *Settings) ConnPrices() (handshake, connection float64) {
	return s.number("Prices.Handshake"), s.number("Prices.Connection")
}

func (s *Settings) class(at string) balance.Class {
	return balance.Class{
		LatencyTarget:       s.Duration(at + "AimS"),
		Deadline:            s.Duration(at + "DeadlineS"),
		Semantics:           balance.Semantics(s.choice(at+"Semantics", "free", "guarded", "single_shot")),
		Scope:               balance.Scope(s.choice(at+"KeyScope", "all", "zone", "cell")),
		DeduplicationWindow: s.Duration(at + "MemorySpanS"),
		Worth:               s.number(at + "Worth"),
		LateWorth:           s.number(at + "LateWorth"),
	}
}

// Text reads a text; a missing one is empty.
func (s *Settings) Text(path string) string { return s.values[path] }

// Fail books an error about a setting, unless there was one before.
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

// Time reads a time in seconds; a missing one is 0.
func (s *Settings) Duration(path string) time.Duration {
	return time.Duration(math.Round(s.number(path)*1e6)) * time.Microsecond
}

// maxCount bounds whole-number settings.
const maxCount = 1 << 20

// Integer reads a whole number from 0 on; a missing one is 0.
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

// choice returns the position of the value among words; the first is the
// default.
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
