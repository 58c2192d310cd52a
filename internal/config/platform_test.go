package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const sound = `{"name":"n3","listen":"127.0.0.4:8000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":32,"sockets":256},
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.9:1","zone":"a","group":1,"status":"in_service","since_ms":0}]},
"settings":{"Me":1,"NInstances":2,"Zone":0,"Tier":0,"Zones":["a","b"],"RegistryMode":"push",
"Limits":{"ConnectTimeoutS":0.15,"ConnIdleS":5,"TryLimit":6,"Multiplex":1},
"Prices":{"CrossZone":0.015},"Tenants":[],"Unknown":{"Deep":[1,{"x":null}]},
"RequestClasses":[{"Name":"view","AimS":0.6,"DeadlineS":1.5,"Semantics":"free","Worth":3},
{"Name":"pay","AimS":1.2,"DeadlineS":3,"Semantics":"single_shot","Worth":9}]}}`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(sound))
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits != (Limits{0.5, 32, 256}) || c.Classes["pay"] != 1 || c.Zones["b"] != 1 || len(c.Known.Endpoints) != 1 {
		t.Errorf("read %+v", c)
	}
	if c.LongestDeadline() != 3*time.Second || c.DialTimeout != 150*time.Millisecond || c.Balance.Index != 1 {
		t.Errorf("times or index: %v, %v, %d", c.LongestDeadline(), c.DialTimeout, c.Balance.Index)
	}
}

// A setting that may be missing has its default, an empty list of zones is one, and
// so is a zone without a name: a deployment that has no zones may tell either.
func TestParseDefaults(t *testing.T) {
	for old, new := range map[string]string{`,"Multiplex":1`: ``, `"Zones":["a","b"]`: `"Zones":[]`, `["a","b"]`: `[""]`} {
		c, err := Parse([]byte(strings.Replace(sound, old, new, 1)))
		if err != nil || c.Balance.Multiplex != 1 {
			t.Errorf("%q for %q: %+v, %v", new, old, c, err)
		}
	}
}

// Every error names what was wrong; none of these texts may pass or panic.
func TestParseNamesWhatIsWrong(t *testing.T) {
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
		_, err := Parse([]byte(strings.Replace(sound, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: error %v, want one that names %q", c.new, c.old, err, c.want)
		}
	}
	if _, err := Parse([]byte(sound[:len(sound)/2])); err == nil {
		t.Error("half a file was taken")
	}
	if _, err := LoadPlatform(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) && !strings.Contains(err.Error(), "none") {
		t.Errorf("a missing file: %v", err)
	}
}
