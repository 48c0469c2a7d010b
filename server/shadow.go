package server

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"pineport/config"
	"pineport/dispatch"
)

// shadowState runs a shadow dispatcher with a candidate configuration and counts the decisions in which it
// differs from the dispatcher.
type shadowState struct {
	candidate   *config.Deployment
	shadow      *dispatch.Shadow
	interval    dispatch.Micros
	nextLogAt   dispatch.Micros // when the counts are logged next
	loggedCount int             // number of compared decisions at the last log line
}

var differences = [dispatch.DifferenceCount]string{dispatch.OtherEndpoint: "elsewhere", dispatch.SentEarlier: "sooner", dispatch.SentLater: "later",
	dispatch.RejectedOnly: "bounced", dispatch.FailedOnly: "terminated", dispatch.StillQueued: "kept", dispatch.CanceledOnly: "called_off",
	dispatch.StillAwaited: "waited_for", dispatch.OtherRetryAfter: "advised"}

func (w *shadowState) start(s *Server) {
	w.candidate, w.shadow = s.deployment.Shadow, nil
	w.interval = dispatch.Micros(s.deployment.ShadowLogInterval.Microseconds())
	if w.candidate != nil {
		w.shadow, w.nextLogAt = dispatch.NewShadow(s.deployment.Merged(w.candidate).Dispatch), s.now+w.interval
	}
}

// reconfigure keeps the numbering of classes and tenants in the shadow equal to that of a reloaded
// configuration.
func (w *shadowState) reconfigure(s *Server) {
	if w.shadow != nil {
		w.shadow.Reconfigure(s.deployment.Merged(w.candidate).Dispatch)
	}
}

// observe passes events and the dispatcher's actions to the shadow. A panic stops only the shadow.
func (w *shadowState) observe(s *Server, events []dispatch.Event, actions []dispatch.Action) {
	if w.shadow == nil {
		return
	}
	defer func() {
		if panicValue := recover(); panicValue != nil {
			s.log.Error("shadow dispatcher stopped after a panic", "error", fmt.Sprint(panicValue), "stack", string(debug.Stack()))
			w.shadow = nil
		}
	}()
	w.shadow.Observe(s.now, events, actions)
	if s.now >= w.nextLogAt {
		w.log(s.log)
		w.nextLogAt = s.now + w.interval
	}
}

// log logs the counts if any decision has been compared since the last time.
func (w *shadowState) log(log *slog.Logger) {
	if w.shadow == nil {
		return
	}
	counts, compared := w.shadow.Counts()
	if compared == w.loggedCount {
		return
	}
	w.loggedCount = compared
	attributes := []any{"compared", compared}
	for kind, count := range counts {
		attributes = append(attributes, differences[kind], count)
	}
	log.Info("shadow configuration compared", attributes...)
}
