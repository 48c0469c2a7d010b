package routing

import "pineport/logic"

// carryOut does what the decisions want; sends go out last, after clients have heard that theirs was accepted.
func (r *Router) carryOut(actions []logic.Action) {
	var calls []*call
	for _, action := range actions {
		switch a := action.(type) {
		case logic.Send:
			calls = r.load(calls, a)
		case logic.Cancel:
			r.cancel(a)
		case logic.Bounce:
			r.reject(a.Record, a.Pause)
		case logic.Terminate:
			r.fail(a.Record)
		case logic.Wake:
			r.wakeAt = min(r.wakeAt, a.At)
		case logic.CloseIdle:
			r.links.closeIdle(peerOf(r.hosts[a.Endpoint]))
		case logic.Watch:
			r.platform.watch()
		case logic.Note:
			r.log.Info("note", "text", a.Text)
		}
	}
	r.reply()
	for _, c := range calls {
		r.start(c)
	}
}
