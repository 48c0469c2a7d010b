package maintenance

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pineport/atomicfile"
)

// Failure: endpoints that people had taken out were called again after a restart, or a damaged file ended the start.
func TestWhatIsOutOutlastsTheProcess(t *testing.T) {
	dir := t.TempDir()
	if out, err := Read(dir, "n0"); out != nil || err != nil {
		t.Fatalf("no file: %v, %v", out, err)
	}
	k := NewWriter(dir, "n0")
	for turn, out := range []map[string]bool{{"a": true}, {"a": true, "b": true}} {
		if err := k.Write(int64(turn+1), out); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Write(1, map[string]bool{"a": true}); err != nil { // came late: the later one stands
		t.Fatal(err)
	}
	if out, err := Read(dir, "n0"); err != nil || !slices.Equal(out, []string{"a", "b"}) {
		t.Fatalf("%v, %v", out, err)
	}
	sound, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		content []byte
		courier string
		fault   error
	}{
		"torn":         {sound[:len(sound)-1], "n0", atomicfile.ErrCorrupt},
		"damaged":      {append(slices.Clone(sound[:len(sound)-1]), 'x'), "n0", atomicfile.ErrCorrupt},
		"empty":        {nil, "n0", atomicfile.ErrCorrupt},
		"newer":        {atomicfile.Encode(magic, version+1, []byte("{}")), "n0", ErrVersion},
		"other things": {atomicfile.Encode(magic, version, []byte("[]")), "n0", atomicfile.ErrCorrupt},
		"stranger":     {sound, "n1", ErrOtherCourier},
		"too large":    {make([]byte, Limit+1), "n0", atomicfile.ErrTooLarge},
	} {
		if err := os.WriteFile(filepath.Join(dir, FileName), c.content, 0o600); err != nil {
			t.Fatal(err)
		}
		if out, err := Read(dir, c.courier); len(out) > 0 || !errors.Is(err, c.fault) {
			t.Errorf("%s: %v, %v", name, out, err)
		}
	}
	if err := k.Write(9, map[string]bool{strings.Repeat("x", Limit): true}); !errors.Is(err, ErrTooMany) {
		t.Errorf("too many: %v", err)
	}
}
