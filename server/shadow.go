package server

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"pineport/config"
	"pineport/dispatch"
)

// shadowState runs a shadow dispatcher with the configuration to come, and counts where it differs.
type shadowState struct {
	deployment  *config.Deployment // to come
	shadow      *dispatch.Shadow
	interval    dispatch.Micros
	nextLogAt   dispatch.Micros // when the counts are logged
	loggedCount int             // decisions compared by then
}

var differences = [dispatch.DifferenceCount]string{dispatch.OtherEndpoint: "elsewhere", dispatch.SentEarlier: "sooner", dispatch.SentLater: "later",
	dispatch.RejectedOnly: "bounced", dispatch.FailedOnly: "terminated", dispatch.StillQueued: "kept", dispatch.CanceledOnly: "called_off",
	dispatch.StillAwaited: "waited_for", dispatch.OtherRetryAfter: "advised"}

func (w *shadowState) start(r *Server) {
	w.deployment, w.shadow = r.deployment.Shadow, nil
	w.interval = dispatch.Micros(r.deployment.ShadowLogInterval.Microseconds())
	if w.deployment != nil {
		w.shadow, w.nextLogAt = dispatch.NewShadow(r.deployment.Merged(w.deployment).Dispatch), r.now+w.interval
	}
}

// reconfigure keeps the numbers of classes and tenants those of a configuration that was reloaded.
func (w *shadowState) reconfigure(r *Server) {
	if w.shadow != nil {
		w.shadow.Reconfigure(r.deployment.Merged(w.deployment).Dispatch)
	}
}

// observe shows the shadow what happened and what is done about it. Should it panic, it is stopped; nothing else is.
func (w *shadowState) observe(r *Server, events []dispatch.Event, did []dispatch.Action) {
	if w.shadow == nil {
		return
	}
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("shadow configuration stopped", "error", fmt.Sprint(fault), "stack", string(debug.Stack()))
			w.shadow = nil
		}
	}()
	w.shadow.Observe(r.now, events, did)
	if r.now >= w.nextLogAt {
		w.log(r.log)
		w.nextLogAt = r.now + w.interval
	}
}

// log logs the counts, if anything was decided since.
func (w *shadowState) log(log *slog.Logger) {
	if w.shadow == nil {
		return
	}
	counts, compared := w.shadow.Counts()
	if compared == w.loggedCount {
		return
	}
	w.loggedCount = compared
	pairs := []any{"compared", compared}
	for d, n := range counts {
		pairs = append(pairs, differences[d], n)
	}
	log.Info("shadow configuration compared", pairs...)
}
