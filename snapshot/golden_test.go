package snapshot

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"pineport/atomicfile"
	"pineport/testbed/golden"
)

const farFuture = 1 << 60 // in microseconds; later than any time that golden.Fill sets

// goldenState returns the state in the golden files, which has every field set.
func goldenState() (state State) {
	golden.Fill(&state)
	state.Snapshot.TakenAt = farFuture
	state.Snapshot.HeldKeys = nil // not stored in the file
	return state
}

// TestEncodeMatchesGolden: a file of the current version must be byte-identical to the golden file, and decoding it must
// return the encoded state.
func TestEncodeMatchesGolden(t *testing.T) {
	golden.CheckTags(t, body{})
	golden.CheckTags(t, State{})
	content, err := Encode(goldenState(), 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "version-2.golden", content)
	got, err := Decode(content)
	if err != nil || !reflect.DeepEqual(got, goldenState()) {
		t.Errorf("%v: decoded as %+v", err, got)
	}
}

// TestDecodeGolden: decoding the golden files of versions 1 and 2 must return the state that they were made from.
func TestDecodeGolden(t *testing.T) {
	for name, adjust := range map[string]func(*State){
		"version-2.golden": func(*State) {},
		"version-1.golden": func(s *State) { s.Snapshot.LostCalls, s.Snapshot.Endpoints = nil, nil },
	} {
		content, err := os.ReadFile("testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		state := goldenState()
		adjust(&state)
		if got, err := Decode(content); err != nil || !reflect.DeepEqual(got, state) {
			t.Errorf("%s: %v: decoded as %+v", name, err, got)
		}
	}
}

// TestVersion1MatchesGolden: the golden file of version 1, which the program no longer writes, must be byte-identical to an
// encoding of bodyV1.
func TestVersion1MatchesGolden(t *testing.T) {
	state := goldenState()
	payload, err := encoder.Marshal(bodyV1{state.Courier, state.Snapshot.TakenAt, state.Snapshot.Groups, state.Snapshot.AnswerTimes})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "version-1.golden", atomicfile.Encode(magic, 1, payload))
}

// TestStateJSONMatchesGolden: the output of "state show --output json", which scripts read, must match the golden file.
func TestStateJSONMatchesGolden(t *testing.T) {
	var output bytes.Buffer
	encoder := json.NewEncoder(&output)
	encoder.SetIndent("", "  ")
	var state State
	golden.Fill(&state)
	if err := encoder.Encode(state); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "state.json.golden", output.Bytes())
	var decoded State
	if err := json.Unmarshal(output.Bytes(), &decoded); err != nil || !reflect.DeepEqual(decoded, state) {
		t.Errorf("%v: decoded as %+v", err, decoded)
	}
}
