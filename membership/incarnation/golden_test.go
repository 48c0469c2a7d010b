package incarnation

import (
	"os"
	"path/filepath"
	"testing"

	"pineport/testbed/golden"
)

// TestFileIsAsRecorded verifies that the file is written byte by byte as recorded, and that Next continues
// from the recorded file.
func TestFileIsAsRecorded(t *testing.T) {
	golden.CheckTags(t, record{})
	dir := t.TempDir()
	if err := Store(dir, "n0", 41); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "start.golden", content)
	if next, readErr, err := Next(dir, "n0"); next != 42 || readErr != nil || err != nil {
		t.Errorf("next incarnation: got %d, %v, %v, want 42", next, readErr, err)
	}
}
