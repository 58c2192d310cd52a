package balance

import "testing"

// New settings of the own zone and of the price of others apply at once. The order of endpoints stayed
// that of the old settings until the next list.
func TestReconfigureSortsEndpointsByZone(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZonePrice = 0.01
	b, _ := newTestBalancer(t, cfg)
	b.UpdateEndpoints(0, Full, []Endpoint{{Addr: "a", State: Ready}, {Addr: "b", Zone: 1, State: Ready}, {Addr: "c", Zone: 1, State: Ready}})
	for _, c := range []struct {
		zone        int
		price       float64
		wantOwnZone int // endpoints
	}{
		{0, 0.01, 1},
		{1, 0.01, 2},
		{1, 0, 3},
		{2, 0.01, 0},
	} {
		cfg.Zone, cfg.CrossZonePrice = c.zone, c.price
		if err := b.Reconfigure(cfg); err != nil {
			t.Fatal(err)
		}
		if b.ownZoneReady != c.wantOwnZone {
			t.Errorf("zone %d at price %v: %d endpoints of the own zone, want %d", c.zone, c.price, b.ownZoneReady, c.wantOwnZone)
		}
		for n, i := range b.ready {
			if own := b.zoneFactor(i) == 1; own != (n < c.wantOwnZone) {
				t.Errorf("zone %d at price %v: endpoint %s is number %d", c.zone, c.price, b.endpoints[i].Addr, n)
			}
		}
	}
}
