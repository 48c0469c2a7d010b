package server

import "pineport/dispatch"

// carryOut does what the decisions want; sends go out last, after clients have heard that theirs was accepted.
func (r *Router) carryOut(actions []dispatch.Action) {
	var calls []*call
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			calls = r.load(calls, a)
		case dispatch.Cancel:
			r.cancel(a)
		case dispatch.Reject:
			r.reject(a.Message, a.RetryAfter)
		case dispatch.Fail:
			r.fail(a.Message)
		case dispatch.SetTimer:
			r.wakeAt = min(r.wakeAt, a.At)
		case dispatch.CloseIdle:
			r.links.closeIdle(peerOf(r.hosts[a.Endpoint]))
		case dispatch.WatchEndpoints:
			r.platform.watch()
		case dispatch.Note:
			r.log.Info("note", "text", a.Text)
		}
	}
	r.reply()
	for _, c := range calls {
		r.start(c)
	}
}
