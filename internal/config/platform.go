// Package config reads the configuration files: the platform's JSON file for a
// sidecar, and the TOML files for the daemon and for lease servers and their clients.
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
	"gorselink/internal/discovery"
	"gorselink/internal/simproto"
)

// Platform is the configuration of one sidecar, which the platform provides.
type Platform struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     discovery.List // initial endpoint list, which may be outdated

	Tier        int
	Balance     balance.Config
	Classes     map[string]int // index in Balance.Classes by name, the first segment of the path
	Tenants     map[string]int // index by name
	Zones       map[string]int // index by name
	DialTimeout time.Duration  // limit for opening a connection
	DrainGrace  time.Duration  // time an endpoint accepts requests after its drain is announced; 0 if not set

	// Prices of opening a connection and of keeping it open, see
	// upstream.OptimalIdleTimeout.
	HandshakePrice, ConnectionPrice float64

	consoleAddress string
	settings       map[string]string // settings by path
}

// ConsoleAddress returns the address:port of the operator console, or fallback if
// the file sets none. It is "" if there is no console.
func (c *Platform) ConsoleAddress(fallback string) string { return cmp.Or(c.consoleAddress, fallback) }

// LongestDeadline returns the longest deadline of all classes.
func (c *Platform) LongestDeadline() time.Duration {
	var d time.Duration
	for i := range c.Balance.Classes {
		d = max(d, c.Balance.Classes[i].Deadline)
	}
	return d
}

// Limits are the resource limits that the deployment enforces on the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// platformFile is the JSON form of the configuration file.
type platformFile struct {
	Name      string                     `json:"name"`
	Listen    string                     `json:"listen"`
	Discovery string                     `json:"discovery"`
	Console   string                     `json:"console"`
	Seed      string                     `json:"seed"`
	Limits    Limits                     `json:"limits"`
	Known     json.RawMessage            `json:"known"`
	Settings  map[string]json.RawMessage `json:"settings"`
}

// LoadPlatform reads the configuration file at path. Validation errors name the key.
func LoadPlatform(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := ParsePlatform(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// ReloadPlatform reads the configuration file at path, which is to replace old. All
// settings of old must be present. Classes may be added and removed; each class
// of the new file must have the settings that all classes of old have.
func ReloadPlatform(path string, old *Platform) (*Platform, error) {
	c, err := LoadPlatform(path)
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(old.settings)) {
		if _, ok := c.settings[key]; !ok && !isListKey(key) {
			return nil, fmt.Errorf("configuration %s: settings.%s: missing", path, key)
		}
	}
	for _, key := range old.commonClassKeys() {
		for i := range len(c.Balance.Classes) {
			if setting := fmt.Sprintf("%s%d.%s", classPrefix, i, key); !c.hasSetting(setting) {
				return nil, fmt.Errorf("configuration %s: settings.%s: missing", path, setting)
			}
		}
	}
	return c, nil
}

// classPrefix starts the paths of class settings; the index of the class follows.
const classPrefix = "RequestClasses."

// isListKey reports whether key belongs to an element of a list, such as a class.
// The length of a list may change in a reload.
func isListKey(key string) bool {
	for part := range strings.SplitSeq(key, ".") {
		if part != "" && strings.Trim(part, "0123456789") == "" {
			return true
		}
	}
	return false
}

func (c *Platform) hasSetting(key string) bool { _, ok := c.settings[key]; return ok }

// commonClassKeys returns the keys that all classes have, without their prefix.
func (c *Platform) commonClassKeys() (keys []string) {
	for _, key := range slices.Sorted(maps.Keys(c.settings)) {
		key, inAll := strings.CutPrefix(key, classPrefix+"0.")
		for i := range len(c.Balance.Classes) {
			inAll = inAll && c.hasSetting(fmt.Sprintf("%s%d.%s", classPrefix, i, key))
		}
		if inAll {
			keys = append(keys, key)
		}
	}
	return keys
}

// ParsePlatform parses the JSON configuration of a sidecar.
func ParsePlatform(text []byte) (*Platform, error) {
	var f platformFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c := &Platform{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, consoleAddress: f.Console, Limits: f.Limits}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q, want a 64-bit hexadecimal number", f.Seed)
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	if len(f.Known) > 0 {
		if c.Known, err = discovery.Decode(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if f.Settings == nil {
		return nil, errors.New("settings: missing")
	}
	return c, c.readSettings(f.Settings)
}

// validate checks all values except the settings and the endpoint list.
func (c *Platform) validate() error {
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
	if c.consoleAddress != "" {
		addresses["console"] = c.consoleAddress
	}
	for key, addr := range addresses {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("%s: %q, want address:port", key, addr)
		}
	}
	return nil
}

// readSettings reads the settings, which have the names of the simulator's protocol.
func (c *Platform) readSettings(tree map[string]json.RawMessage) error {
	values := map[string]string{}
	for key, value := range tree {
		if err := flatten(values, key, value); err != nil {
			return err
		}
	}
	s := simproto.NewSettings(values)
	c.settings = values
	c.Balance = s.BalancerConfig()
	c.Tier = s.Integer("Tier")
	c.DialTimeout = s.Duration("Limits.ConnectTimeoutS")
	c.DrainGrace = s.Duration("Obligations.DrainGraceS")
	c.HandshakePrice, c.ConnectionPrice = s.ConnPrices()
	c.Classes = indexByName(s, "RequestClasses", ".Name")
	c.Tenants = indexByName(s, "Tenants", ".Name")
	c.Zones = indexByName(s, "Zones", "") // a deployment without zones may list one unnamed zone
	for _, path := range []string{"Me", "NInstances", "Zone", "Tier", "Limits.ConnectTimeoutS", "Limits.ConnIdleS", "Limits.TryLimit", "RequestClasses.count", "Zones.count"} {
		if _, ok := values[path]; !ok {
			s.AddError(path, "a value")
		}
	}
	if !c.hasSetting("Limits.Multiplex") {
		c.Balance.Multiplex = 1 // the platform's protocol allows one request at a time on a connection
	}
	b := &c.Balance
	for _, check := range []struct {
		key  string
		ok   bool
		want string
	}{
		{"Limits.TryLimit", b.AttemptLimit >= 1, "1 or more"},
		{"Limits.Multiplex", b.Multiplex >= 1, "1 or more"},
		{"NInstances", b.Instances >= 1, "1 or more"},
		{"Me", b.Index < max(b.Instances, 1), "less than NInstances"},
		{"Obligations.RampTimeS", b.SlowStartWindow >= 0, "0 or more"},
		{"Obligations.OverloadForS", b.OverloadWindow >= 0, "0 or more"},
		{"Obligations.DrainGraceS", c.DrainGrace >= 0, "0 or more"},
		{"Obligations.FallMultiple", b.OverloadFactor >= 0, "0 or more"},
		{"Obligations.ColdShare", b.SlowStartInitialShare >= 0 && b.SlowStartInitialShare <= 1, "0 to 1"},
		{"Obligations.AskWithinS", b.MaxWatchInterval > 0 || !b.PullDiscovery && b.MaxWatchInterval == 0, "more than 0"},
		{"Goal.WorstClass", b.WorstClassWeight >= 0 && b.WorstClassWeight <= 1, "0 to 1"},
		{"Prices.CrossZone", b.CrossZonePrice >= 0, "0 or more"},
	} {
		if !check.ok {
			s.AddError(check.key, check.want)
		}
	}
	for i, class := range c.Balance.Classes {
		for key, value := range map[string]time.Duration{"DeadlineS": class.Deadline, "AimS": class.LatencyTarget} {
			if setting := fmt.Sprintf("%s%d.%s", classPrefix, i, key); value <= 0 && (key == "DeadlineS" || c.hasSetting(setting)) {
				s.AddError(setting, "more than 0")
			}
		}
		if setting := fmt.Sprintf("%s%d.Semantics", classPrefix, i); !c.hasSetting(setting) {
			s.AddError(setting, "a value")
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

// indexByName returns the index of each name in a list of the settings.
func indexByName(s *simproto.Settings, list, field string) map[string]int {
	indexes := map[string]int{}
	for i := range s.Integer(list + ".count") {
		path := list + "." + strconv.Itoa(i) + field
		name := s.Text(path)
		if name == "" && field != "" {
			s.AddError(path, "a name")
		}
		indexes[name] = i
	}
	return indexes
}

// flatten adds the settings below path in the notation of the simulator's
// protocol: the length of a list under .count and its items under .0, .1 and so on.
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
	case 'n': // null equals a missing setting
	default:
		values[path] = strings.TrimSpace(string(text))
	}
	return nil
}
