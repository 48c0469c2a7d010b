package incarnation

import (
	"os"
	"path/filepath"
	"testing"
)

// TestIncarnationGrows guards against two failures: a start reused an incarnation, and a damaged file
// prevented the courier from starting.
func TestIncarnationGrows(t *testing.T) {
	dir := t.TempDir()
	for want := uint64(1); want < 4; want++ {
		if got, readErr, err := Next(dir, "n0"); got != want || readErr != nil || err != nil {
			t.Fatalf("got %d, %v, %v; want %d", got, readErr, err, want)
		}
	}
	if got, readErr, _ := Next(dir, "n1"); got != 1 || readErr == nil {
		t.Errorf("used the incarnation of another courier: %d, %v", got, readErr)
	}
	path := filepath.Join(dir, FileName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range text {
		if err := os.WriteFile(path, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		if got, readErr, err := Next(dir, "n1"); got != 1 || readErr == nil || err != nil {
			t.Fatalf("file truncated to %d bytes: got %d, %v, %v; want 1 and a read error", cut, got, readErr, err)
		}
	}
}
