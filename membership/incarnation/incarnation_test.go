package incarnation

import (
	"os"
	"path/filepath"
	"testing"
)

// Failure: a start went on under a number that had been used; a damaged file stopped the courier.
func TestIncarnationGrows(t *testing.T) {
	dir := t.TempDir()
	for want := uint64(1); want < 4; want++ {
		if got, fault, err := Next(dir, "n0"); got != want || fault != nil || err != nil {
			t.Fatalf("%d, %v, %v; want %d", got, fault, err, want)
		}
	}
	if got, fault, _ := Next(dir, "n1"); got != 1 || fault == nil {
		t.Errorf("another courier's number is taken: %d, %v", got, fault)
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
		if got, fault, err := Next(dir, "n1"); got != 1 || fault == nil || err != nil {
			t.Fatalf("cut at %d: %d, %v, %v", cut, got, fault, err)
		}
	}
}
