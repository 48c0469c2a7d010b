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

// TestSameOverTheWire: the same decisions over the simulator's wire come to the same day, to the last count. The wire
// has no word for a planned end, so days with one are left out.
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
		here, _, err := simulation.Play(w, simulation.NewLocalHost(nil), simulation.Options{})
		if err != nil {
			t.Fatal(err)
		}
		host, err := Open(binary)
		if err != nil {
			t.Fatal(err)
		}
		there, _, err := simulation.Play(w, host, simulation.Options{})
		if err != nil {
			t.Fatal(err)
		}
		if err := host.Close(); err != nil {
			t.Error(err)
		}
		if !reflect.DeepEqual(here.Counts, there.Counts) || here.Score != there.Score {
			t.Errorf("%s: %v %+v here, %v %+v over the wire", name, here.Score, here.Counts, there.Score, there.Counts)
		}
	}
}

// TestBrokenHosts: no program, one that ends at once, one that talks nonsense and one that reports a fault each give a
// clear error or a broken day, and no hang.
func TestBrokenHosts(t *testing.T) {
	d, err := scenario.Find("calm")
	if err != nil {
		t.Fatal(err)
	}
	w := scenario.Draw(d, 1)
	for command, want := range map[string]string{"/nowhere/at-all": "broke off", "true": "broke off", "yes nonsense": "before any courier"} {
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
