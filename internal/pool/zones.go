package pool

import "maps"

// maxUnlistedZones bounds the zones that get a number without being in the configuration. All
// further ones share a number.
const maxUnlistedZones = 64

// zoneNumbers numbers zones for the Balancer. A zone keeps its number, because attempts that are open
// may be repeated only in their zone, also after new settings and lists.
type zoneNumbers struct {
	byName   map[string]int
	next     int // the lowest number that no zone has
	unlisted int // zones that are not in the configuration
}

// newZoneNumbers returns the numbers of the configured zones, or only of ownZone if there are none.
// ownNumber is the number of the own zone, which may have no name.
func newZoneNumbers(configured map[string]int, ownZone string, ownNumber int) zoneNumbers {
	z := zoneNumbers{byName: maps.Clone(configured), next: ownNumber + 1}
	if z.byName == nil {
		z.byName = map[string]int{ownZone: 0}
	}
	for _, number := range z.byName {
		z.next = max(z.next, number+1)
	}
	return z
}

// number returns the number of a zone and assigns one to a new zone.
func (z *zoneNumbers) number(name string) int {
	if i, ok := z.byName[name]; ok {
		return i
	}
	if z.unlisted == maxUnlistedZones {
		return z.next
	}
	z.unlisted++
	return z.add(name)
}

func (z *zoneNumbers) add(name string) int {
	z.byName[name] = z.next
	z.next++
	return z.byName[name]
}

// reconfigure adds the zones of new settings and returns the number of the own zone, whose index in the
// settings is given. Numbers that have been assigned stay.
func (z *zoneNumbers) reconfigure(configured map[string]int, ownIndex int) int {
	own := -1
	for name, index := range configured {
		number, ok := z.byName[name]
		if !ok {
			number = z.add(name)
		}
		if index == ownIndex {
			own = number
		}
	}
	if own < 0 { // the settings do not name it
		own = z.next
		z.next++
	}
	return own
}
