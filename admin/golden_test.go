package admin

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pineport/testbed/golden"
)

// recordedCourier answers every call with all that it could say.
type recordedCourier struct{}

func (recordedCourier) Serving() bool { return true }

func (recordedCourier) Metrics() *Metrics {
	var f Metrics
	golden.Fill(&f)
	return &f
}

func (recordedCourier) Execute(_ context.Context, what Command) error {
	if m, ok := what.(SetDisabled); ok && m.Endpoint == "unknown" {
		return ErrUnknownEndpoint
	}
	return nil
}

// TestPagesAreAsRecorded: status and text of each call, without and with a courier behind the address.
func TestPagesAreAsRecorded(t *testing.T) {
	golden.CheckTags(t, Metrics{})
	var pages strings.Builder
	s := &Server{log: slog.New(slog.DiscardHandler)}
	handler := s.handler()
	look := func(method, path string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		body, _ := io.ReadAll(w.Result().Body)
		fmt.Fprintf(&pages, "%s %s: %d %s\n%s", method, path, w.Code, w.Header().Get("Content-Type"), body)
	}
	for _, courier := range []Courier{nil, recordedCourier{}} {
		if courier != nil {
			s.SetCourier(courier)
		}
		fmt.Fprintf(&pages, "with a courier: %v\n", courier != nil)
		for _, path := range []string{"/status", "/status/metrics", "/peers", "/commons", "/nonsense", "/status/"} {
			look(http.MethodGet, path)
		}
		for _, path := range []string{"/maintenance/enter/s-1", "/maintenance/exit/s-1", "/maintenance/enter/unknown", "/standby", "/active", "/peers/gone/n1"} {
			look(http.MethodPost, path)
		}
	}
	golden.Check(t, "pages.golden", []byte(pages.String()))
}
