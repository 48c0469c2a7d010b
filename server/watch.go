package server

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"pineport/config"
	"pineport/dispatch"
)

// watch runs decisions under settings to come beside those that are carried out, and counts where they differ.
type watch struct {
	settings *config.Deployment // to come
	watcher  *dispatch.Shadow
	every    dispatch.Micros
	next     dispatch.Micros // when the counts are logged
	told     int             // decisions compared by then
}

var differences = [dispatch.Differences]string{dispatch.OtherEndpoint: "elsewhere", dispatch.SentEarlier: "sooner", dispatch.SentLater: "later",
	dispatch.RejectedOnly: "bounced", dispatch.FailedOnly: "terminated", dispatch.StillQueued: "kept", dispatch.CanceledOnly: "called_off",
	dispatch.StillAwaited: "waited_for", dispatch.OtherRetryAfter: "advised"}

func (w *watch) start(r *Router) {
	w.settings, w.watcher = r.dep.Watch, nil
	w.every = dispatch.Micros(r.dep.WatchTell.Microseconds())
	if w.settings != nil {
		w.watcher, w.next = dispatch.NewShadow(r.dep.Merged(w.settings).Charter), r.now+w.every
	}
}

// recharter keeps the numbers of workloads and parties those of a configuration that was read anew.
func (w *watch) recharter(r *Router) {
	if w.watcher != nil {
		w.watcher.Reconfigure(r.dep.Merged(w.settings).Charter)
	}
}

// see shows the watched decisions what happened and what is done about it. Should they fail, watching ends; nothing else.
func (w *watch) see(r *Router, events []dispatch.Event, did []dispatch.Action) {
	if w.watcher == nil {
		return
	}
	defer func() {
		if fault := recover(); fault != nil {
			r.log.Error("watching ended", "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
			w.watcher = nil
		}
	}()
	w.watcher.Observe(r.now, events, did)
	if r.now >= w.next {
		w.tell(r.log)
		w.next = r.now + w.every
	}
}

// tell logs the counts, if anything was decided since.
func (w *watch) tell(log *slog.Logger) {
	if w.watcher == nil {
		return
	}
	counts, compared := w.watcher.Counts()
	if compared == w.told {
		return
	}
	w.told = compared
	pairs := []any{"compared", compared}
	for d, n := range counts {
		pairs = append(pairs, differences[d], n)
	}
	log.Info("watched settings", pairs...)
}
