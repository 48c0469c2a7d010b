package incarnation

import (
	"os"
	"path/filepath"
	"testing"

	"pineport/testbed/golden"
)

// TestFileIsAsRecorded: the file is written byte by byte as recorded, and the recorded one is gone on from.
func TestFileIsAsRecorded(t *testing.T) {
	golden.CheckTags(t, body{})
	dir := t.TempDir()
	if err := Store(dir, "n0", 41); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "start.golden", content)
	if next, fault, err := Next(dir, "n0"); next != 42 || fault != nil || err != nil {
		t.Errorf("%d, %v, %v", next, fault, err)
	}
}
