package server

import (
	"errors"
	"fmt"
	"slices"

	"pineport/dispatch"
	"pineport/protocol"
	"pineport/spool"
)

const (
	// How long discovery may hold a watch, and its answer may take after that; a dead connection shows so much later. Both
	// together leave a call that hangs half a second to be asked anew: what it misses counts as told 6 s after discovery had
	// it. Failure: given up after 6.5 s, a change from just after the call was told 6.35 s after it was made.
	watchWait  = 4500 * 1000
	watchSlack = 1000 * 1000
	listSlack  = 150 * 1000  // the rest of a list that has begun may take; a drain that it tells has a grace of less
	cutAgain   = 30 * 1000   // after one that broke off; twice as long after each further one, askAgain at most
	askAgain   = 1000 * 1000 // where nobody else says when to ask again
	nothingNew = 100 * 1000  // an answer that comes sooner and is no newer would have us ask in a circle

	// A notice that is not confirmed goes again beside the first, as that may hang and its time be short; ever
	// more slowly. The longest way there and back that a deployment tells of is a fifth of a second.
	noticeAgain = 250 * 1000
	noticeSoon  = 50 * 1000
	noticeSlack = 2 * 1000 * 1000
	noticeCalls = 4                // out at once
	noticeMost  = 64               // in one call
	noticeLong  = 10 * 1000 * 1000 // after a message's time nobody asks for its end any more
)

// owed is a notice that the platform has not confirmed.
type owed struct {
	notice protocol.Notice
	until  dispatch.Micros
	next   dispatch.Micros // when it goes, or goes again
	tries  int
	over   bool
}

// telling is one call with notices.
type telling struct {
	x    *exchange
	by   dispatch.Micros
	with []*owed
}

// platform speaks with discovery: one watch, and some calls with notices.
type platform struct {
	r        *Router
	seq      int64
	watching *exchange
	watchBy  dispatch.Micros
	askAt    dispatch.Micros
	askedAt  dispatch.Micros
	cuts     int // lists in a row that broke off
	owed     []*owed
	calls    []*telling
}

func (p *platform) init(r *Router) { p.r, p.watchBy, p.askAt = r, never, never }

func (p *platform) start() {
	if !p.r.dep.Charter.MustPoll {
		p.watch()
	}
}

// watch asks for what is newer than the list held; it goes on by itself until it fails.
func (p *platform) watch() {
	p.askAt = never
	if p.watching != nil {
		return
	}
	x := &exchange{peer: peer{addr: p.r.dep.Discovery}, whole: true,
		bytes: protocol.Watch(p.r.dep.Discovery, p.seq, watchWait/1000), end: p.watched,
		begun: func(begun bool) {
			if p.watchBy = p.askedAt + watchWait + watchSlack; begun {
				p.watchBy = min(p.watchBy, p.r.now+listSlack)
			}
		}}
	p.askedAt = p.r.now
	p.watching, p.watchBy = x, p.r.now+watchWait+watchSlack
	p.r.links.start(x)
}

func (p *platform) watched(a protocol.Answer, err error) {
	cut, part := p.watching.cut, p.watching.part
	p.watching, p.watchBy = nil, never
	if err == nil && a.Status != 200 {
		err = fmt.Errorf("status %d", a.Status)
	}
	var list protocol.List
	if err == nil {
		list, err = protocol.ReadList(a.Body)
	}
	if err != nil {
		p.r.log.Warn("watch failed", "fault", err, "cut", cut)
		if cut { // it has begun to tell, and what it told counts
			if list := protocol.ReadPart(part); list.Seq > p.seq {
				p.r.applyListing(list, dispatch.PartialList)
			}
			// Failure: a list that broke off each time was asked for thirty times a second.
			p.askAt = p.r.now + min(dispatch.Micros(cutAgain)<<min(p.cuts, 8), askAgain)
			p.cuts++
			return
		}
		p.r.events = append(p.r.events, dispatch.EndpointUpdate{Kind: dispatch.ListFailed})
		if !p.r.dep.Charter.MustPoll {
			p.askAt = p.r.now + askAgain
		}
		return
	}
	p.cuts = 0
	switch {
	case list.Seq < p.seq:
		p.r.log.Warn("an older list left out", "seq", list.Seq, "held", p.seq)
	case list.Whole:
		p.r.applyListing(list, dispatch.CompleteList)
	default:
		p.r.applyListing(list, dispatch.PartialList)
	}
	if list.Seq <= p.seq && p.r.now-p.askedAt < nothingNew {
		p.askAt = p.r.now + nothingNew
		return
	}
	p.seq = max(p.seq, list.Seq)
	p.watch()
}

// moved leaves the address that was used so far. The new one is asked for news at once and told all that the old one
// has not confirmed; a notice that both hear of does no harm.
func (p *platform) moved(old string) {
	p.r.links.abort(p.watching)
	p.watching = nil
	for _, t := range p.calls {
		p.r.links.abort(t.x)
	}
	p.calls = nil
	for _, o := range p.owed {
		o.next, o.tries = p.r.now, 0
	}
	p.r.links.closeIdle(peer{addr: old})
	p.watch()
}

// stop asks and tells nothing more; what is owed stands in the spool.
func (p *platform) stop() {
	p.r.links.abort(p.watching)
	p.watching, p.watchBy, p.askAt = nil, never, never
	for _, t := range p.calls {
		p.r.links.abort(t.x)
	}
	p.calls, p.owed = nil, nil
}

// tell owes the platform the end of a message.
func (p *platform) tell(k *spool.Record) {
	p.owed = append(p.owed, &owed{until: dispatch.Micros(k.CutOff) + noticeLong,
		notice: protocol.Notice{ID: k.ID, Bounced: k.Ended == storedRejected, AgainMs: k.AgainMs}})
}

func (p *platform) due() dispatch.Micros {
	at := min(p.watchBy, p.askAt)
	for _, t := range p.calls {
		at = min(at, t.by)
	}
	if len(p.calls) < noticeCalls {
		for _, o := range p.owed {
			at = min(at, o.next)
		}
	}
	return at
}

// tick does what has fallen due.
func (p *platform) tick() {
	now := p.r.now
	if p.r.driver == nil {
		return
	}
	if p.watchBy <= now {
		p.r.links.abort(p.watching)
		p.watched(protocol.Answer{}, errLate)
	}
	if p.askAt <= now {
		p.watch()
	}
	for _, t := range slices.Clone(p.calls) {
		if t.by <= now {
			p.r.links.abort(t.x)
			p.told(t, protocol.Answer{}, errLate)
		}
	}
	for len(p.calls) < noticeCalls && p.notify() {
	}
}

var errLate = errors.New("no answer in time")

// notify sends the notices that are due, as many as a call takes, and tells whether there were any.
func (p *platform) notify() bool {
	t := &telling{by: p.r.now + noticeSlack}
	var notices []protocol.Notice
	for _, o := range p.owed {
		if o.next <= p.r.now && len(notices) < noticeMost {
			o.next = p.r.now + noticeAgain<<min(o.tries, 3)
			o.tries++
			t.with, notices = append(t.with, o), append(notices, o.notice)
		}
	}
	if len(notices) == 0 {
		return false
	}
	t.x = &exchange{peer: peer{addr: p.r.dep.Discovery}, bytes: protocol.Notices(p.r.dep.Discovery, notices),
		begun: func(bool) {}, end: func(a protocol.Answer, err error) { p.told(t, a, err) }}
	p.calls = append(p.calls, t)
	p.r.links.start(t.x)
	return true
}

func (p *platform) told(t *telling, a protocol.Answer, err error) {
	p.calls = slices.DeleteFunc(p.calls, func(o *telling) bool { return o == t })
	switch {
	case err != nil:
	case a.Status == 400:
		p.r.log.Error("notices were not understood", "first", t.with[0].notice.ID)
	case a.Status != 204 && a.Status != 200:
		err = fmt.Errorf("status %d", a.Status)
	}
	if err != nil {
		p.r.log.Warn("notices will be sent again", "count", len(t.with), "fault", err)
	}
	for _, o := range t.with {
		if o.over = o.over || err == nil || p.r.now > o.until; o.over {
			p.r.check(p.r.spool.Forget(o.notice.ID))
		} else {
			o.next = min(o.next, p.r.now+noticeSoon) // it failed at once
		}
	}
	p.owed = slices.DeleteFunc(p.owed, func(o *owed) bool { return o.over })
}
