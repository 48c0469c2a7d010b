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
	golden.CheckTags(t, Packet{})
	var packet Packet
	golden.Fill(&packet)
	packet.Version = Version
	text, err := Encode(packet)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "packet.golden", []byte(hex.EncodeToString(text)))
	if again, err := Decode(text); err != nil || !reflect.DeepEqual(again, packet) {
		t.Errorf("%v: read as %+v", err, again)
	}
}

// TestShownIsAsRecorded: the keys that scripts read of what is shown.
func TestShownIsAsRecorded(t *testing.T) {
	golden.CheckTags(t, Status{})
	golden.CheckTags(t, Counters{})
	var shown struct {
		Line Status
		Sums Counters
	}
	golden.Fill(&shown)
	text, err := json.MarshalIndent(shown, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "shown.json.golden", text)
}
