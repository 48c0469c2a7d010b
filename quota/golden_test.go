package quota

import (
	"encoding/hex"
	"encoding/json"
	"reflect"
	"testing"

	"pineport/testbed/golden"
)

// TestPacketIsAsRecorded compares the encoding of a packet with every field set byte by byte with the recorded file, and decodes it again.
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
		t.Errorf("error %v, decoded as %+v", err, again)
	}
}

// TestStatusIsAsRecorded compares the JSON keys of Status and Counters, which scripts read, with the recorded file.
func TestStatusIsAsRecorded(t *testing.T) {
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
