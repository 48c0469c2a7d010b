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

// fixedCourier returns metrics with every field filled and knows every endpoint except "unknown".
type fixedCourier struct{}

func (fixedCourier) Serving() bool { return true }

func (fixedCourier) Metrics() *Metrics {
	var metrics Metrics
	golden.Fill(&metrics)
	return &metrics
}

func (fixedCourier) Execute(_ context.Context, command Command) error {
	if disable, ok := command.(SetDisabled); ok && disable.Endpoint == "unknown" {
		return ErrUnknownEndpoint
	}
	return nil
}

// TestResponsesMatchGolden compares the status, content type and body of each response with the golden file, before and
// after SetCourier.
func TestResponsesMatchGolden(t *testing.T) {
	golden.CheckTags(t, Metrics{}) // every field has a JSON name
	var pages strings.Builder
	s := &Server{log: slog.New(slog.DiscardHandler)}
	handler := s.handler()
	record := func(method, path string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		body, _ := io.ReadAll(w.Result().Body)
		fmt.Fprintf(&pages, "%s %s: %d %s\n%s", method, path, w.Code, w.Header().Get("Content-Type"), body)
	}
	for _, courier := range []Courier{nil, fixedCourier{}} {
		if courier != nil {
			s.SetCourier(courier)
		}
		fmt.Fprintf(&pages, "with a courier: %v\n", courier != nil)
		for _, path := range []string{"/status", "/status/metrics", "/peers", "/commons", "/nonsense", "/status/"} {
			record(http.MethodGet, path)
		}
		for _, path := range []string{"/maintenance/enter/s-1", "/maintenance/exit/s-1", "/maintenance/enter/unknown", "/standby", "/active", "/peers/gone/n1"} {
			record(http.MethodPost, path)
		}
	}
	golden.Check(t, "pages.golden", []byte(pages.String()))
}
