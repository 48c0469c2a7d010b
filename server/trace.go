package server

import (
	"context"
	"log/slog"

	"pineport/dispatch"
)

// trace logs the main events and actions of the dispatcher at debug level for the component decisions.
// Replays of a day of traffic count these log lines across the fleet. When disabled, trace costs one check
// per step.
func (s *Server) trace(events []dispatch.Event, actions []dispatch.Action) {
	if !s.tracer.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for _, event := range events {
		switch e := event.(type) {
		case dispatch.MessageAccepted:
			s.tracer.Debug("accepted", "message", e.Message, "destination", e.Destination, "class", e.Class)
		case dispatch.AttemptFinished:
			s.tracer.Debug("finished", "message", e.Message, "attempt", e.Attempt, "outcome", e.Outcome.String(), "duration", e.Duration,
				"retry_after", e.RetryAfter, "load_report", e.LoadReport)
		case dispatch.AttemptUnsent:
			s.tracer.Debug("unsent", "message", e.Message, "attempt", e.Attempt)
		case dispatch.EndpointUpdate:
			s.tracer.Debug("endpoints", "kind", e.Kind, "entries", len(e.Entries))
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			s.tracer.Debug("send", "message", a.Message, "endpoint", a.Endpoint, "timeout", a.Timeout)
		case dispatch.Cancel:
			s.tracer.Debug("cancel", "message", a.Message, "attempt", a.Attempt)
		case dispatch.Reject:
			s.tracer.Debug("reject", "message", a.Message, "retry_after", a.RetryAfter)
		case dispatch.Fail:
			s.tracer.Debug("fail", "message", a.Message)
		case dispatch.WatchEndpoints:
			s.tracer.Debug("watch")
		}
	}
}
