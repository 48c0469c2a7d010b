package maintenance

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"pineport/testbed/golden"
)

// TestFileMatchesGolden: the written file must be byte-identical to the golden file, and reading it must return the endpoints
// that were written.
func TestFileMatchesGolden(t *testing.T) {
	golden.CheckTags(t, body{})
	dir := t.TempDir()
	if err := NewWriter(dir, "n0").Write(1, map[string]bool{"s-1": true, "s-2": true}); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "maintenance.golden", content)
	if disabled, err := Read(dir, "n0"); err != nil || !slices.Equal(disabled, []string{"s-1", "s-2"}) {
		t.Errorf("%v, %v", disabled, err)
	}
}
