package server

import (
	"fmt"
	"runtime/debug"
	"time"

	"pineport/config"
	"pineport/dispatch"
)

// late is more than a loaded machine delays a timer by, and less than an answer takes.
const late = 50 * 1000

const hour = 3600 * 1000 * 1000

// standstill lets in what came while this process stood still, before anything is judged overdue: its own
// delay would pass for the endpoints' silence.
func (r *Router) standstill(due dispatch.Micros) {
	for waited := 0; r.clock()-due > late && waited < 4; waited++ {
		time.Sleep(late / 2 * time.Microsecond)
		if len(r.inbox) == 0 {
			return
		}
		r.gather()
	}
}

// gather dispatches all that has come by now.
func (r *Router) gather() {
	for range len(r.door) {
		r.dispatch(<-r.door)
	}
	for range cap(r.inbox) {
		select {
		case what := <-r.inbox:
			r.dispatch(what)
		default:
			return
		}
	}
}

// dispatch hands what came in to the part that it is for. A panic over it costs the client that sent it its connection, and nothing else.
func (r *Router) dispatch(what any) {
	r.now = r.clock()
	repliesBefore := len(r.replies)
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("panic over what came in", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			if c, ok := what.(commands); ok {
				r.clients.commandsFailed(c, repliesBefore)
			}
		}
	}()
	switch e := what.(type) {
	case commands:
		r.clients.commands(e)
	case clientGone:
		r.clients.gone(e)
	case *client:
		r.clients.add(e)
	case *config.Deployment:
		r.reload(e)
	case request:
		r.operators.asked(e)
	case knock:
		r.upgrade.knocked(e)
	case said:
		r.upgrade.said(e)
	case sharing:
		r.applySharing(e)
	case linkUp:
		r.links.up(e)
	case linkBegun:
		r.links.begun(e)
	case linkAnswer:
		r.links.answered(e)
	case linkDown:
		r.links.down(e)
	}
}
