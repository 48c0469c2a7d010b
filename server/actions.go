package server

import "pineport/dispatch"

// carryOut carries out the actions of the dispatcher. Calls start last, after clients have their replies.
func (s *Server) carryOut(actions []dispatch.Action) {
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
	s.reply()
	for _, call := range calls {
		s.startCall(call)
	}
}
