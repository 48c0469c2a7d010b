package dispatch

// What couriers of a fleet share of limits, handed out and taken in: bookkeeping only. What it does to gaps is in logic.go.

// Need is what a courier does on one route that was called lately, and what holds over all couriers there.
type Need struct {
	Dest     DestID
	Endpoint EndpointID // empty where the route is the destination
	Limit    float64    // calls a second from all couriers; 0 where nobody tells it, or only roughly
	Calls    int        // since the courier began, and what became of them
	Done     int
	Refused  int
	Waiting  int // records held for the destination
}

// Shared brings what couriers have settled among themselves. It can only hold back, but for parts of limits that others gave up.
type Shared struct{ Parts []SharedPart }

// SharedPart is what stands for one route.
type SharedPart struct {
	Dest     DestID
	Endpoint EndpointID
	Lent     float64 // of this courier's part, given up until LentTo
	LentTo   Micros
	Loan     float64 // of this courier's part, on top until LoanTo
	LoanTo   Micros
	Load     float64 // what all couriers that were heard use of the limit, until LoadTo
	LoadTo   Micros
}

func (Shared) event() {}

// mostLent of a part is lent at once, by who decides on that.
const mostLent = 0.5

// Needs is what the courier does on the routes that were called lately.
func (c *Courier) Needs() (all []Need) {
	for _, rt := range c.late {
		n := Need{Dest: rt.dest.id, Calls: rt.called, Done: rt.served, Refused: rt.turned, Waiting: len(rt.dest.queue)}
		if rt.told || c.ch.Rates == NominalRates {
			n.Limit = c.limit(rt)
		}
		if rt.dest.shape.Apart {
			n.Waiting /= max(1, len(rt.dest.routes))
			for _, ep := range rt.dest.endpoints {
				if ep.route == rt {
					n.Endpoint = ep.Endpoint
				}
			}
		}
		all = append(all, n)
	}
	return all
}

// share takes down what stands.
func (c *Courier) share(e Shared) {
	for _, p := range e.Parts {
		if rt := c.routeOf(RouteLore{Dest: p.Dest, Endpoint: p.Endpoint}); rt != nil {
			if p.LentTo < c.ch.LentTo {
				p.Lent, p.LentTo = max(p.Lent, mostLent), c.ch.LentTo
			}
			rt.shared = p
		}
	}
}

// more is what still stands of it on top of this courier's part, as a share of that; below nought where more is given up.
func (p *SharedPart) more(now Micros) (more float64) {
	if now < p.LentTo {
		more -= p.Lent
	}
	if now < p.LoanTo {
		more += p.Loan
	}
	return more
}

// load is what is known of others' use of the limit, 0 where nothing fresh is.
func (p *SharedPart) load(now Micros) float64 {
	if now < p.LoadTo {
		return p.Load
	}
	return 0
}
