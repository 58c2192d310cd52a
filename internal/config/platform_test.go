package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validConfig = `{"name":"n3","listen":"127.0.0.4:8000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":32,"sockets":256},
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.9:1","zone":"a","group":1,"status":"in_service","since_ms":0}]},
"settings":{"Me":1,"NInstances":2,"Zone":0,"Tier":0,"Zones":["a","b"],"RegistryMode":"push",
"Limits":{"ConnectTimeoutS":0.15,"ConnIdleS":5,"TryLimit":6,"Multiplex":1},
"Prices":{"CrossZone":0.015},"Tenants":[],"Unknown":{"Deep":[1,{"x":null}]},
"RequestClasses":[{"Name":"view","AimS":0.6,"DeadlineS":1.5,"Semantics":"free","Worth":3},
{"Name":"pay","AimS":1.2,"DeadlineS":3,"Semantics":"single_shot","Worth":9}]}}`

func TestParsePlatform(t *testing.T) {
	c, err := ParsePlatform([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits != (Limits{0.5, 32, 256}) || c.Classes["pay"] != 1 || c.Zones["b"] != 1 || len(c.Known.Endpoints) != 1 {
		t.Errorf("limits, classes, zones or endpoint list differ from the file: %+v", c)
	}
	if c.LongestDeadline() != 3*time.Second || c.DialTimeout != 150*time.Millisecond || c.Balance.Index != 1 {
		t.Errorf("longest deadline %v, dial timeout %v, index %d, want 3s, 150ms and 1", c.LongestDeadline(), c.DialTimeout, c.Balance.Index)
	}
}

// Optional settings have defaults. A deployment without zones may have an empty list
// of zones or a single unnamed zone.
func TestParsePlatformDefaults(t *testing.T) {
	for old, new := range map[string]string{`,"Multiplex":1`: ``, `"Zones":["a","b"]`: `"Zones":[]`, `["a","b"]`: `[""]`} {
		c, err := ParsePlatform([]byte(strings.Replace(validConfig, old, new, 1)))
		if err != nil || c.Balance.Multiplex != 1 {
			t.Errorf("%q in place of %q: %+v, %v, want a multiplex of 1", new, old, c, err)
		}
	}
}

// Each invalid file is rejected with an error that names the key.
func TestParsePlatformErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`{"name"`, `["name"`, "invalid"},
		{`"n3"`, `""`, "name"},
		{`127.0.0.4:8000`, `somewhere`, "listen"},
		{`127.2.0.1:8500`, `127.2.0.1`, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"cores":0.5`, `"cores":0`, "limits.cores"},
		{`"memory_mb":32`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":256`, `"sockets":0`, "limits.sockets"},
		{`"in_service"`, `"unheard"`, "known"},
		{`"settings":{`, `"other":{`, "settings"},
		{`"Me":1,`, ``, "Me"},
		{`"ConnectTimeoutS":0.15`, `"ConnectTimeoutS":0`, "ConnectTimeoutS"},
		{`"ConnIdleS":5`, `"ConnIdleS":-5`, "ConnIdleS"},
		{`"free"`, `"weekly"`, "Semantics"},
		{`"Name":"pay"`, `"Name":""`, "RequestClasses.1.Name"},
		{`"NInstances":2`, `"NInstances":0`, "NInstances"},
		{`"NInstances":2,`, ``, "NInstances"},
		{`"NInstances":2`, `"NInstances":1`, "Me"},
		{`"Multiplex":1`, `"Multiplex":0`, "Limits.Multiplex"},
		{`"Zones":["a","b"],`, ``, "Zones"},
		{`"Prices":{"CrossZone":0.015}`, `"Prices":{"CrossZone":-1}`, "Prices.CrossZone"},
		{`"Prices"`, `"Obligations":{"RampTimeS":-5},"Prices"`, "Obligations.RampTimeS"},
		{`"Prices"`, `"Obligations":{"OverloadForS":-3},"Prices"`, "Obligations.OverloadForS"},
		{`"Prices"`, `"Obligations":{"FallMultiple":-3},"Prices"`, "Obligations.FallMultiple"},
		{`"Prices"`, `"Obligations":{"ColdShare":1.5},"Prices"`, "Obligations.ColdShare"},
		{`"Prices"`, `"Goal":{"WorstClass":2},"Prices"`, "Goal.WorstClass"},
		{`"RegistryMode":"push"`, `"RegistryMode":"ask"`, "Obligations.AskWithinS"},
	} {
		_, err := ParsePlatform([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s in place of %s: error %v, want one that contains %q", c.new, c.old, err, c.want)
		}
	}
	if _, err := ParsePlatform([]byte(validConfig[:len(validConfig)/2])); err == nil {
		t.Error("a truncated file was accepted")
	}
	if _, err := LoadPlatform(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) && !strings.Contains(err.Error(), "none") {
		t.Errorf("a missing file: error %v, want one that names the file", err)
	}
}
