package simprotocol

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"

	"pineport/dispatch"
)

func TestReaderReportsInvalidLinesAndContinues(t *testing.T) {
	in := `mark 1.5
on 3
list 0 1
row a:1 0 1 57 IN 2.5 -
topology 4 0 Persisted
job_in t/x - 57 0 - 9.5 1 2 extra
job_in t/short - 57
settled t/x zero a:1 success 0.1 1 - -
settled t/x 0 a:1 overloaded 0.25 0 400 0.5,2
topology 5 7 Complete
surprise 1
go
`
	var invalid []int
	r := NewReader(strings.NewReader(in), func(line int, _ error) { invalid = append(invalid, line) })
	batch, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	if want := []int{7, 8, 10, 11}; !reflect.DeepEqual(invalid, want) {
		t.Errorf("invalid lines %v, want %v", invalid, want)
	}
	want := Batch{Now: 1500000, Events: []CourierEvent{
		{3, dispatch.EndpointUpdate{Kind: dispatch.CachedList, Entries: []dispatch.EndpointEntry{
			{Endpoint: "a:1", Type: 1, Destination: 57, Rate: 2.5}}}},
		{3, dispatch.MessageAccepted{Message: "t/x", Destination: 57, Class: 1, Deadline: 9500000, Resubmitted: true}},
		{3, dispatch.AttemptFinished{Message: "t/x", Outcome: dispatch.Throttled, Duration: 250000, RetryAfter: 400000, LoadReport: []float64{0.5, 2}}},
	}}
	if !reflect.DeepEqual(batch, want) {
		t.Errorf("read %+v, want %+v", batch, want)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end of input: got %v, want EOF", err)
	}
}

// TestInvalidSettingsAreRejected guards against starting a courier with invalid settings: its begin event is reported with line
// and key, and other begin events of the batch are unaffected.
func TestInvalidSettingsAreRejected(t *testing.T) {
	valid := "family-info.slots=4 ceilings.open-cap=20 ceilings.try-limit=8 tick-s=0.005 classes.count=1 classes.0.slo-s=1.0 classes.0.deadline-s=8.0"
	in := "mark 1.5\non 3\nbegin 7 " + valid + " something-new=9\n"
	for _, invalid := range []string{"family-info.slots=0", "ceilings.open-cap=-3", "weight-kind=heavy", "classes.0.deadline-s=0.5", "tick-s=NaN"} {
		in += "on 4\nbegin 7 " + valid + " " + invalid + "\n"
	}
	var reported []string
	r := NewReader(strings.NewReader(in+"go\n"), func(line int, fault error) { reported = append(reported, fmt.Sprintf("%d %v", line, fault)) })
	batch, err := r.Next()
	if err != nil || len(batch.Events) != 1 || batch.Events[0].Courier != 3 {
		t.Fatalf("%v, %+v", err, batch.Events)
	}
	want := []string{"5 family-info.slots: ", "7 ceilings.open-cap: ", "9 weight-kind: ", "11 classes.0.slo-s: must not exceed", "13 tick-s: "}
	if len(reported) != len(want) {
		t.Fatalf("reported %q", reported)
	}
	for i := range want {
		if !strings.HasPrefix(reported[i], want[i]) {
			t.Errorf("reported %q, want %q", reported[i], want[i])
		}
	}
}

func TestWriterOutput(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	w.Actions(2, []dispatch.Action{dispatch.Send{Message: "t/x", Endpoint: "a:1", Timeout: 80001}, dispatch.SetTimer{At: 434704055501}})
	w.Panicked(5, "index\nout of range")
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := "at 2\ntransmit t/x a:1 0.080001\nwake_me 434704.055501 look\nat 5\ninternal_error index out of range\nok\n"
	if out.String() != want {
		t.Errorf("wrote %q, want %q", out.String(), want)
	}
}
