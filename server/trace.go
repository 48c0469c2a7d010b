package server

import (
	"context"
	"log/slog"

	"pineport/dispatch"
)

// trace writes what the decisions were told and what they did, at debug level of the component decisions: a
// replay of a day counts them across the fleet. Off, it costs one check a step.
func (r *Router) trace(events []dispatch.Event, actions []dispatch.Action) {
	if !r.tracer.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for _, event := range events {
		switch e := event.(type) {
		case dispatch.Taken:
			r.tracer.Debug("taken", "record", e.Record, "dest", e.Dest, "workload", e.Workload)
		case dispatch.Settled:
			r.tracer.Debug("settled", "record", e.Record, "trip", e.Trip, "outcome", e.Outcome, "took", e.Took,
				"wait", e.Wait, "pressure", e.Pressure)
		case dispatch.ListNews:
			r.tracer.Debug("list", "how", e.How, "entries", len(e.Entries))
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			r.tracer.Debug("send", "record", a.Record, "endpoint", a.Endpoint, "limit", a.Limit)
		case dispatch.Cancel:
			r.tracer.Debug("cancel", "record", a.Record, "trip", a.Trip)
		case dispatch.Bounce:
			r.tracer.Debug("bounce", "record", a.Record, "pause", a.Pause)
		case dispatch.Terminate:
			r.tracer.Debug("terminate", "record", a.Record)
		case dispatch.Watch:
			r.tracer.Debug("watch")
		}
	}
}
