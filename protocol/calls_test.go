package protocol

import (
	"bytes"
	"testing"
)

// TestSharedSizeMatchesEncoding checks that the sizes by which messages are put into a call add up to the body of that call.
func TestSharedSizeMatchesEncoding(t *testing.T) {
	items := []Message{{ID: "a", Body: []byte("body")}, {ID: "longer-id", IdempotencyKey: "key", Body: make([]byte, 12_345)}, {ID: "empty"}}
	size := 0
	for _, item := range items {
		size += SharedSize(item)
	}
	_, body, _ := bytes.Cut(EncodeDelivery("endpoint", 100, items), []byte("\r\n\r\n"))
	if size != len(body) {
		t.Errorf("the sizes add up to %d bytes, the body has %d", size, len(body))
	}
}
