package process

import (
	"os"
	"testing"
	"time"
)

func TestParseStat(t *testing.T) {
	text := "77 (a name) with ) in it) S 1 77 77 0 -1 4194560 100 0 0 0 250 50 0 0 20 0 9 0 1234 99999 300 18446744073709551615 1 1\n"
	cpu, resident, err := parseStat(text)
	if err != nil || cpu != 3*time.Second || resident != 300*int64(os.Getpagesize()) {
		t.Errorf("%v, %d bytes, %v", cpu, resident, err)
	}
	for _, bad := range []string{"", "77 (a) S 1 2", "77 (a) S 1 77 77 0 -1 0 1 0 0 0 x 50 0 0 20 0 9 0 1 9 300 1"} {
		if _, _, err := parseStat(bad); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

func TestTakenNeedsAProcess(t *testing.T) {
	if _, _, err := (&Courier{Number: 1}).CurrentUsage(); err == nil {
		t.Error("a courier that does not run has taken something")
	}
}
