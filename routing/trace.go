package routing

import (
	"context"
	"log/slog"

	"pineport/logic"
)

// trace writes what the decisions were told and what they did, at debug level of the component decisions: a
// replay of a day counts them across the fleet. Off, it costs one check a step.
func (r *Router) trace(events []logic.Event, actions []logic.Action) {
	if !r.tracer.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for _, event := range events {
		switch e := event.(type) {
		case logic.Taken:
			r.tracer.Debug("taken", "record", e.Record, "dest", e.Dest, "workload", e.Workload)
		case logic.Settled:
			r.tracer.Debug("settled", "record", e.Record, "trip", e.Trip, "outcome", e.Outcome, "took", e.Took,
				"wait", e.Wait, "pressure", e.Pressure)
		case logic.ListNews:
			r.tracer.Debug("list", "how", e.How, "entries", len(e.Entries))
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case logic.Send:
			r.tracer.Debug("send", "record", a.Record, "endpoint", a.Endpoint, "limit", a.Limit)
		case logic.Cancel:
			r.tracer.Debug("cancel", "record", a.Record, "trip", a.Trip)
		case logic.Bounce:
			r.tracer.Debug("bounce", "record", a.Record, "pause", a.Pause)
		case logic.Terminate:
			r.tracer.Debug("terminate", "record", a.Record)
		case logic.Watch:
			r.tracer.Debug("watch")
		}
	}
}
