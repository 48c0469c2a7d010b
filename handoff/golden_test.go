package handoff

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"pineport/testbed/golden"
)

// TestMessagesAreAsRecorded: each message between the two processes of an upgrade, with every field set, is written byte by byte as
// recorded and reads as what was written.
func TestMessagesAreAsRecorded(t *testing.T) {
	golden.Tagged(t, Message{})
	var lines bytes.Buffer
	kinds := reflect.TypeOf(Message{}).NumField()
	for kind := range kinds {
		var full, one Message
		golden.Fill(&full)
		reflect.ValueOf(&one).Elem().Field(kind).Set(reflect.ValueOf(full).Field(kind))
		text, err := json.Marshal(one)
		if err != nil {
			t.Fatal(err)
		}
		lines.Write(append(text, '\n'))
		var again Message
		if err := json.Unmarshal(text, &again); err != nil || !reflect.DeepEqual(again, one) {
			t.Errorf("%s: read as %+v: %v", text, again, err)
		}
	}
	golden.Check(t, "messages.golden", lines.Bytes())
}
