package quota

import (
	"encoding/hex"
	"encoding/json"
	"reflect"
	"testing"

	"pineport/testbed/golden"
)

// TestPacketIsAsRecorded: a packet with every field set is written byte by byte as recorded, and reads as what was written.
func TestPacketIsAsRecorded(t *testing.T) {
	golden.Tagged(t, Words{})
	var w Words
	golden.Fill(&w)
	w.Version = Version
	text, err := Encode(w)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "packet.golden", []byte(hex.EncodeToString(text)))
	if again, err := Decode(text); err != nil || !reflect.DeepEqual(again, w) {
		t.Errorf("%v: read as %+v", err, again)
	}
}

// TestShownIsAsRecorded: the keys that scripts read of what is shown.
func TestShownIsAsRecorded(t *testing.T) {
	golden.Tagged(t, Line{})
	golden.Tagged(t, Sums{})
	var shown struct {
		Line Line
		Sums Sums
	}
	golden.Fill(&shown)
	text, err := json.MarshalIndent(shown, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "shown.json.golden", text)
}
