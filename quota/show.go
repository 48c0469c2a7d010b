package quota

import (
	"maps"
	"slices"
)

// What stands, to be shown.

// Sums count what happened since the start.
type Sums struct {
	Asked     uint64 `json:"Asked"`     // asks made
	Lent      uint64 `json:"Lent"`      // loans given
	Taken     uint64 `json:"Taken"`     // loans taken up
	Late      uint64 `json:"Late"`      // loans that came too late or unasked
	Forgotten uint64 `json:"Forgotten"` // counts left out for want of room
}

// Line is what stands for one route, to be shown.
type Line struct {
	Key
	Limit    float64 `json:"limit_per_s"`
	Base     Units   `json:"base_ppm"`
	Lent     Units   `json:"lent_ppm"`
	Borrowed Units   `json:"borrowed_ppm"`
	Usage    Units   `json:"usage_ppm"`
	Load     float64 `json:"load"`
	Heard    int     `json:"couriers_heard"`
	Calls    uint64  `json:"calls"`
	Done     uint64  `json:"done"`
	Refused  uint64  `json:"refused"`
	LentTo   []Lot   `json:"lent_to,omitempty"`
	From     []Lot   `json:"borrowed_from,omitempty"`
}

// Lot is one loan: with whom, its number, and how long it still holds here.
type Lot struct {
	Who   string `json:"who"`
	No    uint64 `json:"no"`
	Units Units  `json:"ppm"`
	For   Micros `json:"for_us"`
}

func (c *Commons) lots(all []loan) (lots []Lot) {
	for _, l := range all {
		if c.now < l.until {
			lots = append(lots, Lot{l.who, l.no, l.units, l.until - c.now})
		}
	}
	return lots
}

// Look is what stands at an instant, by route, and what happened.
func (c *Commons) Look(now Micros) (lines []Line, sums Sums) {
	c.now = max(c.now, now)
	for _, k := range slices.SortedFunc(maps.Keys(c.routes), compare) {
		rt := c.routes[k]
		p := c.part(rt)
		units, _ := c.borrowed(rt, 0)
		l := Line{Key: k, Limit: rt.need.Limit, Base: c.base(), Lent: min(c.base(), c.away(rt)), Borrowed: units, Usage: rt.usage, Load: p.Load,
			Calls: rt.need.Calls, Done: rt.need.Done, Refused: rt.need.Refused, LentTo: c.lots(rt.lent), From: c.lots(rt.taken)}
		for _, s := range rt.slots {
			if c.now-s.at <= freshFor {
				l.Heard++
				l.Calls, l.Done, l.Refused = l.Calls+s.count.Calls, l.Done+s.count.Done, l.Refused+s.count.Refused
			}
		}
		lines = append(lines, l)
	}
	return lines, c.sums
}
