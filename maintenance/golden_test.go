package maintenance

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"pineport/testbed/golden"
)

// TestFileIsAsRecorded: the file is written byte by byte as recorded, and reads as what was written.
func TestFileIsAsRecorded(t *testing.T) {
	golden.Tagged(t, body{})
	dir := t.TempDir()
	if err := NewWriter(dir, "n0").Write(1, map[string]bool{"s-1": true, "s-2": true}); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "maintenance.golden", content)
	if out, err := Read(dir, "n0"); err != nil || !slices.Equal(out, []string{"s-1", "s-2"}) {
		t.Errorf("%v, %v", out, err)
	}
}
