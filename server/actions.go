package server

import "pineport/dispatch"

// carryOut does what the decisions want; sends go out last, after clients have heard that theirs was accepted.
func (r *Server) carryOut(actions []dispatch.Action) {
	var calls []*call
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			calls = r.addToCall(calls, a)
		case dispatch.Cancel:
			r.cancel(a)
		case dispatch.Reject:
			r.reject(a.Message, a.RetryAfter)
		case dispatch.Fail:
			r.fail(a.Message)
		case dispatch.SetTimer:
			r.timerAt = min(r.timerAt, a.At)
		case dispatch.CloseIdle:
			r.endpointConns.closeIdle(peerOf(r.endpoints[a.Endpoint]))
		case dispatch.WatchEndpoints:
			r.discovery.poll()
		case dispatch.Note:
			r.log.Info("note", "text", a.Text)
		}
	}
	r.reply()
	for _, call := range calls {
		r.startCall(call)
	}
}
