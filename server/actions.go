package server

import "pineport/dispatch"

// execute executes the actions of the dispatcher. It starts calls last, after it has written the replies to
// clients.
func (s *Server) execute(actions []dispatch.Action) {
	var calls []*call
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			calls = s.addToCall(calls, a)
		case dispatch.Cancel:
			s.cancel(a)
		case dispatch.Reject:
			s.reject(a.Message, a.RetryAfter)
		case dispatch.Fail:
			s.fail(a.Message)
		case dispatch.SetTimer:
			s.timerAt = min(s.timerAt, a.At)
		case dispatch.CloseIdle:
			s.endpointConns.CloseIdle(peerOf(s.endpoints[a.Endpoint]))
		case dispatch.WatchEndpoints:
			s.discovery.poll(a)
		case dispatch.Note:
			s.log.Info("note", "text", a.Text)
		}
	}
	s.writeReplies()
	for _, call := range calls {
		s.startCall(call)
	}
}
