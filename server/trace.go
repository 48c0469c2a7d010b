package server

import (
	"context"
	"log/slog"

	"pineport/dispatch"
)

// trace writes what the decisions were told and what they did, at debug level of the component decisions: a
// replay of a day counts them across the fleet. Off, it costs one check a step.
func (r *Server) trace(events []dispatch.Event, actions []dispatch.Action) {
	if !r.tracer.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for _, event := range events {
		switch e := event.(type) {
		case dispatch.MessageAccepted:
			r.tracer.Debug("taken", "record", e.Message, "dest", e.Destination, "workload", e.Class)
		case dispatch.AttemptFinished:
			r.tracer.Debug("settled", "record", e.Message, "trip", e.Attempt, "outcome", int(e.Outcome), "took", e.Duration,
				"wait", e.RetryAfter, "pressure", e.LoadReport)
		case dispatch.EndpointUpdate:
			r.tracer.Debug("list", "how", e.Kind, "entries", len(e.Entries))
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			r.tracer.Debug("send", "record", a.Message, "endpoint", a.Endpoint, "limit", a.Timeout)
		case dispatch.Cancel:
			r.tracer.Debug("cancel", "record", a.Message, "trip", a.Attempt)
		case dispatch.Reject:
			r.tracer.Debug("bounce", "record", a.Message, "pause", a.RetryAfter)
		case dispatch.Fail:
			r.tracer.Debug("terminate", "record", a.Message)
		case dispatch.WatchEndpoints:
			r.tracer.Debug("watch")
		}
	}
}
