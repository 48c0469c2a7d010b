package gossip

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"pineport/testbed/golden"
)

// TestPacketsAreAsRecorded: what members send one another beside the detector's own messages, with every field set, byte by byte.
func TestPacketsAreAsRecorded(t *testing.T) {
	var lines strings.Builder
	for _, packet := range []any{&metadata{}, &pushPullState{}, &nameConflict{}, &userPacket{}} {
		golden.CheckTags(t, packet)
		golden.Fill(packet)
		text, err := cbor.Marshal(packet)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(&lines, hex.EncodeToString(text))
	}
	golden.Check(t, "packets.golden", []byte(lines.String()))
}
