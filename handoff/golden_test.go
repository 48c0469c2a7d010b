package handoff

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"pineport/testbed/golden"
)

// TestMessagesMatchGolden: the encoding of each kind of message, with every field set, must be byte-identical to the golden file,
// and decoding it must return the same message.
func TestMessagesMatchGolden(t *testing.T) {
	golden.CheckTags(t, Message{})
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
		var decoded Message
		if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(decoded, one) {
			t.Errorf("%s: decoded as %+v: %v", text, decoded, err)
		}
	}
	golden.Check(t, "messages.golden", lines.Bytes())
}
