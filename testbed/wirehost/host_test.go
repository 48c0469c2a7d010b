package wirehost

import (
	"errors"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pineport/testbed/scenario"
	"pineport/testbed/simulation"
)

// TestSameOverTheWire checks that the same decision logic gives exactly the same counts and figure in process and over the simulator's wire
// protocol. The wire protocol has no event for a graceful shutdown, so the test uses scenarios without one.
func TestSameOverTheWire(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "simadapter")
	if out, err := exec.Command("go", "build", "-o", binary, "pineport/cmd/simadapter").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, name := range []string{"calm", "in-order", "overload"} {
		d, err := scenario.Find(name)
		if err != nil {
			t.Fatal(err)
		}
		w := scenario.Draw(d, 3)
		inProcess, _, err := simulation.Play(w, simulation.NewLocalHost(nil), simulation.Options{})
		if err != nil {
			t.Fatal(err)
		}
		host, err := Open(binary)
		if err != nil {
			t.Fatal(err)
		}
		overWire, _, err := simulation.Play(w, host, simulation.Options{})
		if err != nil {
			t.Fatal(err)
		}
		if err := host.Close(); err != nil {
			t.Error(err)
		}
		if !reflect.DeepEqual(inProcess.Counts, overWire.Counts) || inProcess.Score != overWire.Score {
			t.Errorf("%s: %v %+v in process, %v %+v over the wire", name, inProcess.Score, inProcess.Counts, overWire.Score, overWire.Counts)
		}
	}
}

// TestFaultyHosts checks a missing program, one that exits at once, one that writes invalid lines and one that reports an internal error. The
// first three must give a clear error. An internal error concerns one courier only: it must not be returned as an error, but appear in the verdict
// as a violation of the invariant on crashes.
func TestFaultyHosts(t *testing.T) {
	d, err := scenario.Find("calm")
	if err != nil {
		t.Fatal(err)
	}
	w := scenario.Draw(d, 1)
	for command, want := range map[string]string{"/nowhere/at-all": "reply ended early", "true": "reply ended early", "yes nonsense": "before the first at line"} {
		host, err := Open(command)
		if err != nil {
			t.Fatal(err)
		}
		_, _, err = simulation.Play(w, host, simulation.Options{})
		host.Close()
		if err == nil || !strings.Contains(err.Error(), want) && !strings.Contains(err.Error(), "pipe") {
			t.Errorf("%s: %v", command, err)
		}
	}
	host, err := Open(`/bin/sh -c 'while read -r a b; do if [ "$a" = on ]; then n=$b; fi; if [ "$a" = go ]; then echo "at $n"; echo "internal_error out of hand"; echo ok; fi; done'`)
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	v, _, err := simulation.Play(w, host, simulation.Options{})
	var fault *simulation.CourierPanic
	if errors.As(err, &fault) || v == nil || v.OK() || !strings.Contains(v.Short(), "no crash") {
		t.Errorf("%v, %+v", err, v)
	}
}
