package server

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"pineport/dispatch"
)

// TestTraceOfDispatcher: the trace logs one line for each of these events and actions of the dispatcher at
// debug level, and nothing at higher levels.
func TestTraceOfDispatcher(t *testing.T) {
	events := []dispatch.Event{dispatch.MessageAccepted{Message: "r7", Destination: 2}, dispatch.AttemptFinished{Message: "r7", Outcome: dispatch.Throttled, RetryAfter: 500}}
	actions := []dispatch.Action{dispatch.Send{Message: "r7", Endpoint: "s-1", Timeout: 900}, dispatch.Reject{Message: "r7", RetryAfter: 40}}
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo} {
		var b bytes.Buffer
		s := &Server{tracer: slog.New(slog.NewTextHandler(&b, &slog.HandlerOptions{Level: level}))}
		s.trace(events, actions)
		lines := strings.Split(strings.TrimSpace(b.String()), "\n")
		if level == slog.LevelInfo {
			if b.Len() > 0 {
				t.Fatalf("traced above debug level: %q", b.String())
			}
			continue
		}
		want := []string{"msg=accepted message=r7 destination=2", "msg=finished message=r7 attempt=0 outcome=throttled duration=0 retry_after=500",
			"msg=send message=r7 endpoint=s-1 timeout=900", "msg=reject message=r7 retry_after=40"}
		if len(lines) != len(want) {
			t.Fatalf("got %d lines, want %d: %q", len(lines), len(want), lines)
		}
		for i, w := range want {
			if !strings.Contains(lines[i], w) {
				t.Errorf("line %d does not contain %q: %q", i, w, lines[i])
			}
		}
	}
}
