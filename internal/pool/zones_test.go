package pool

import "testing"

// Each zone has a number of its own, which new settings do not change. If zones that the settings did
// not name shared one, a request that may run once in a zone could run in two.
func TestZonesKeepTheirNumbers(t *testing.T) {
	for name, c := range map[string]struct {
		configured map[string]int
		reloaded   map[string]int
		ownIndex   int
		wantOwn    string
	}{
		"zones are added":          {map[string]int{"a": 0}, map[string]int{"a": 0, "b": 1, "c": 2}, 0, "a"},
		"zones change their order": {map[string]int{"a": 0, "b": 1}, map[string]int{"b": 0, "a": 1}, 1, "a"},
		"the own zone changes":     {map[string]int{"a": 0, "b": 1}, map[string]int{"a": 0, "b": 1}, 1, "b"},
		"all zones are replaced":   {map[string]int{"a": 0}, map[string]int{"b": 0, "c": 1}, 0, "b"},
		"index without a name":     {map[string]int{"a": 0}, map[string]int{"b": 0}, 3, ""},
		"no configured zones":      {nil, map[string]int{"b": 0}, 0, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZoneNumbers(c.configured, "own", 0)
			before := map[string]int{}
			for _, zone := range []string{"a", "b", "c", "d"} {
				before[zone] = z.number(zone)
			}
			own := z.reconfigure(c.reloaded, c.ownIndex)
			zones := map[int]string{}
			for _, zone := range []string{"a", "b", "c", "d", "e", "f"} {
				n := z.number(zone)
				if was, ok := before[zone]; ok && n != was {
					t.Errorf("zone %s has number %d, had %d", zone, n, was)
				}
				if other, ok := zones[n]; ok {
					t.Errorf("zones %s and %s share number %d", other, zone, n)
				}
				zones[n] = zone
			}
			if zones[own] != c.wantOwn {
				t.Errorf("the own zone is %q, want %q", zones[own], c.wantOwn)
			}
		})
	}
}
