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

// TestDisabledEndpointsSurviveRestart guards against two failures: endpoints that operators have disabled are called again
// after a restart, or a damaged file prevents the start. It also covers files of another courier or version, and a list that
// is too long.
func TestDisabledEndpointsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	if disabled, err := Read(dir, "n0"); disabled != nil || err != nil {
		t.Fatalf("no file: %v, %v", disabled, err)
	}
	writer := NewWriter(dir, "n0")
	for index, disabled := range []map[string]bool{{"a": true}, {"a": true, "b": true}} {
		if err := writer.Write(int64(index+1), disabled); err != nil {
			t.Fatal(err)
		}
	}
	if err := writer.Write(1, map[string]bool{"a": true}); err != nil { // an older generation must not replace a newer one
		t.Fatal(err)
	}
	if disabled, err := Read(dir, "n0"); err != nil || !slices.Equal(disabled, []string{"a", "b"}) {
		t.Fatalf("%v, %v", disabled, err)
	}
	valid, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		content []byte
		courier string
		wantErr error
	}{
		"torn":          {valid[:len(valid)-1], "n0", atomicfile.ErrCorrupt},
		"damaged":       {append(slices.Clone(valid[:len(valid)-1]), 'x'), "n0", atomicfile.ErrCorrupt},
		"empty":         {nil, "n0", atomicfile.ErrCorrupt},
		"newer":         {atomicfile.Encode(magic, version+1, []byte("{}")), "n0", ErrVersion},
		"wrong payload": {atomicfile.Encode(magic, version, []byte("[]")), "n0", atomicfile.ErrCorrupt},
		"stranger":      {valid, "n1", ErrOtherCourier},
		"too large":     {make([]byte, MaxFileSize+1), "n0", atomicfile.ErrTooLarge},
	} {
		if err := os.WriteFile(filepath.Join(dir, FileName), c.content, 0o600); err != nil {
			t.Fatal(err)
		}
		if disabled, err := Read(dir, c.courier); len(disabled) > 0 || !errors.Is(err, c.wantErr) {
			t.Errorf("%s: %v, %v", name, disabled, err)
		}
	}
	if err := writer.Write(9, map[string]bool{strings.Repeat("x", MaxFileSize): true}); !errors.Is(err, ErrTooMany) {
		t.Errorf("too many: %v", err)
	}
}
