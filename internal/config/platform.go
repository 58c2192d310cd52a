// Package config reads what the deployment tells a sidecar at its start.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gorselink/balance"
	"gorselink/internal/nodes"
	"gorselink/internal/wire"
)

// Config is what one sidecar is told.
type Platform struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     nodes.List // the endpoints as last known, maybe outdated

	Tier        int
	Balance     balance.Config
	Classes     map[string]int // by the first part of the path
	Tenants     map[string]int
	Zones       map[string]int
	DialTimeout time.Duration // a connection that is not up within it never will be
	DrainGrace  time.Duration // after the news of a drain; 0 if not told

	// What the goal charges for new connections and for open ones, see upstream.KeepIdle.
	HandshakePrice, ConnectionPrice float64

	console string
	values  map[string]string // the settings by path
}

// Console is where operators call, address:port; fallback unless the file says.
// It is "" for nowhere.
func (c *Platform) ConsoleAddress(fallback string) string { return cmp.Or(c.console, fallback) }

// LongestDeadline is the longest time that any request is owed an answer in.
func (c *Platform) LongestDeadline() time.Duration {
	var d time.Duration
	for i := range c.Balance.Classes {
		d = max(d, c.Balance.Classes[i].Deadline)
	}
	return d
}

// Limits are the bounds that the deployment enforces.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// file is the form of the configuration file.
type file struct {
	Name      string                     `json:"name"`
	Listen    string                     `json:"listen"`
	Discovery string                     `json:"discovery"`
	Console   string                     `json:"console"`
	Seed      string                     `json:"seed"`
	Limits    Limits                     `json:"limits"`
	Known     json.RawMessage            `json:"known"`
	Settings  map[string]json.RawMessage `json:"settings"`
}

// Load reads the configuration file at path. Every error names its key.
func LoadPlatform(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Reload reads the configuration file at path in the place of old. It must have
// all the settings that old has; those of old's classes are compared with the
// settings that all of them have, as classes come and go.
func ReloadPlatform(path string, old *Platform) (*Platform, error) {
	c, err := LoadPlatform(path)
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(old.values)) {
		if _, ok := c.values[key]; !ok && !inClass(key) {
			return nil, fmt.Errorf("configuration %s: settings.%s: missing", path, key)
		}
	}
	for _, key := range old.classKeys() {
		for i := range len(c.Balance.Classes) {
			if at := fmt.Sprintf("%s%d.%s", classList, i, key); !c.has(at) {
				return nil, fmt.Errorf("configuration %s: settings.%s: missing", path, at)
			}
		}
	}
	return c, nil
}

const classList = "RequestClasses."

// inClass tells whether a key is one of a class, or of another list, whose length
// may change.
func inClass(key string) bool {
	for part := range strings.SplitSeq(key, ".") {
		if part != "" && strings.Trim(part, "0123456789") == "" {
			return true
		}
	}
	return false
}

func (c *Platform) has(key string) bool { _, ok := c.values[key]; return ok }

// classKeys are the keys that all classes have.
func (c *Platform) classKeys() (keys []string) {
	for _, key := range slices.Sorted(maps.Keys(c.values)) {
		key, first := strings.CutPrefix(key, classList+"0.")
		for i := range len(c.Balance.Classes) {
			first = first && c.has(fmt.Sprintf("%s%d.%s", classList, i, key))
		}
		if first {
			keys = append(keys, key)
		}
	}
	return keys
}

// Parse reads the text of a configuration file.
func Parse(text []byte) (*Platform, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c := &Platform{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, console: f.Console, Limits: f.Limits}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q, want a hexadecimal number of 64 bits", f.Seed)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	if len(f.Known) > 0 {
		if c.Known, err = nodes.Decode(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if f.Settings == nil {
		return nil, errors.New("settings: missing")
	}
	return c, c.settings(f.Settings)
}

func (c *Platform) check() error {
	switch {
	case c.Name == "":
		return errors.New("name: missing")
	case c.Limits.Cores <= 0:
		return fmt.Errorf("limits.cores: %v, want more than 0", c.Limits.Cores)
	case c.Limits.MemoryMB <= 0:
		return fmt.Errorf("limits.memory_mb: %v, want more than 0", c.Limits.MemoryMB)
	case c.Limits.Sockets <= 0:
		return fmt.Errorf("limits.sockets: %v, want more than 0", c.Limits.Sockets)
	}
	addresses := map[string]string{"listen": c.Listen, "discovery": c.Discovery}
	if c.console != "" {
		addresses["console"] = c.console
	}
	for key, addr := range addresses {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("%s: %q, want address:port", key, addr)
		}
	}
	return nil
}

// settings reads the settings, which have the names of the simulator's wire.
func (c *Platform) settings(tree map[string]json.RawMessage) error {
	values := map[string]string{}
	for key, value := range tree {
		if err := flatten(values, key, value); err != nil {
			return err
		}
	}
	s := wire.NewSettings(values)
	c.values = values
	c.Balance = s.BalancerConfig()
	c.Tier = s.Integer("Tier")
	c.DialTimeout = s.Duration("Limits.ConnectTimeoutS")
	c.DrainGrace = s.Duration("Obligations.DrainGraceS")
	c.HandshakePrice, c.ConnectionPrice = s.ConnPrices()
	c.Classes = names(s, "RequestClasses", ".Name")
	c.Tenants = names(s, "Tenants", ".Name")
	c.Zones = names(s, "Zones", "") // a deployment without zones may have one without a name
	for _, path := range []string{"Me", "NInstances", "Zone", "Tier", "Limits.ConnectTimeoutS", "Limits.ConnIdleS", "Limits.TryLimit", "RequestClasses.count", "Zones.count"} {
		if _, ok := values[path]; !ok {
			s.AddError(path, "a value")
		}
	}
	if !c.has("Limits.Multiplex") {
		c.Balance.Multiplex = 1 // one request at a time on a connection, as the protocol says
	}
	b := &c.Balance
	for _, x := range []struct {
		key  string
		ok   bool
		want string
	}{
		{"Limits.TryLimit", b.AttemptLimit >= 1, "1 or more"},
		{"Limits.Multiplex", b.Multiplex >= 1, "1 or more"},
		{"NInstances", b.Instances >= 1, "1 or more"},
		{"Me", b.Index < max(b.Instances, 1), "less than NInstances"},
		{"Obligations.RampTimeS", b.RampTime >= 0, "0 or more"},
		{"Obligations.OverloadForS", b.OverloadWindow >= 0, "0 or more"},
		{"Obligations.DrainGraceS", c.DrainGrace >= 0, "0 or more"},
		{"Obligations.FallMultiple", b.OverloadFactor >= 0, "0 or more"},
		{"Obligations.ColdShare", b.ColdShare >= 0 && b.ColdShare <= 1, "0 to 1"},
		{"Obligations.AskWithinS", b.MaxWatchInterval > 0 || !b.PullDiscovery && b.MaxWatchInterval == 0, "more than 0"},
		{"Goal.WorstClass", b.WorstClassWeight >= 0 && b.WorstClassWeight <= 1, "0 to 1"},
		{"Prices.CrossZone", b.CrossZonePrice >= 0, "0 or more"},
	} {
		if !x.ok {
			s.AddError(x.key, x.want)
		}
	}
	for i, class := range c.Balance.Classes {
		for key, value := range map[string]time.Duration{"DeadlineS": class.Deadline, "AimS": class.LatencyTarget} {
			if at := fmt.Sprintf("%s%d.%s", classList, i, key); value <= 0 && (key == "DeadlineS" || c.has(at)) {
				s.AddError(at, "more than 0")
			}
		}
		if at := fmt.Sprintf("%s%d.Semantics", classList, i); !c.has(at) {
			s.AddError(at, "a value")
		}
	}
	if c.DialTimeout <= 0 {
		s.AddError("Limits.ConnectTimeoutS", "more than 0")
	}
	if c.Balance.IdleConnTimeout <= 0 {
		s.AddError("Limits.ConnIdleS", "more than 0")
	}
	return s.Err()
}

// names reads the position of each name in a list of the settings.
func names(s *wire.Settings, list, field string) map[string]int {
	all := map[string]int{}
	for i := range s.Integer(list + ".count") {
		path := list + "." + strconv.Itoa(i) + field
		name := s.Text(path)
		if name == "" && field != "" {
			s.AddError(path, "a name")
		}
		all[name] = i
	}
	return all
}

// flatten adds the settings below path in the form of the wire: a list gives
// its length under .count and its items under .0, .1 and so on.
func flatten(values map[string]string, path string, text json.RawMessage) error {
	switch text[0] {
	case '{':
		var object map[string]json.RawMessage
		if err := json.Unmarshal(text, &object); err != nil {
			return fmt.Errorf("settings.%s: %w", path, err)
		}
		for key, value := range object {
			if err := flatten(values, path+"."+key, value); err != nil {
				return err
			}
		}
	case '[':
		var list []json.RawMessage
		if err := json.Unmarshal(text, &list); err != nil {
			return fmt.Errorf("settings.%s: %w", path, err)
		}
		values[path+".count"] = strconv.Itoa(len(list))
		for i, value := range list {
			if err := flatten(values, path+"."+strconv.Itoa(i), value); err != nil {
				return err
			}
		}
	case '"':
		var s string
		if err := json.Unmarshal(text, &s); err != nil {
			return fmt.Errorf("settings.%s: %w", path, err)
		}
		values[path] = s
	case 'n': // null: as if missing
	default:
		values[path] = strings.TrimSpace(string(text))
	}
	return nil
}
