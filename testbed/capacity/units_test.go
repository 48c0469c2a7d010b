package capacity

import "testing"

func TestFormat(t *testing.T) {
	for _, try := range []struct {
		value float64
		unit  string
		want  string
	}{
		{0, "s", "0 s"}, {9e-8, "s", "0.09 µs"}, {0.0013, "s", "1.3 ms"}, {1.734, "s", "1.73 s"}, {86.4, "s", "86.4 s"}, {600, "s", "10 min"},
		{10154, "s", "2.82 h"}, {1014971, "s", "11.7 days"}, {999.6, "bytes", "1,000 bytes"}, {128e6, "bytes", "128 MB"}, {15078, "bytes/s", "15.1 kB/s"},
		{17272727, "events", "17,300,000 events"}, {354.5, "events/s", "355 events/s"}, {1, "cores", "1 core"}, {1, "events/s", "1 events/s"},
		{0.0174, "share", "1.74 %"}, {1.03, "share", "103 %"}, {35.61, "share", "35.6 x"}, {1e300, "share", "over 1,000,000 x"}, {0.5, "ratio", "0.5"},
		{0.0000174, "cores", "1.74e-05 cores"}, {-0.091, "ratio", "-0.091"},
	} {
		if got := Format(try.value, try.unit); got != try.want {
			t.Errorf("%v %s: got %q, want %q", try.value, try.unit, got, try.want)
		}
	}
	if got := formatExact(65536); got != "65,536" {
		t.Errorf("exact: %q", got)
	}
}
