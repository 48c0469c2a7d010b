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

const millionYears = 1 << 60 // microseconds: later than any instant that golden.Fill sets

// recordedState is a state with every field set, as the files of testdata hold it.
func recordedState() (state State) {
	golden.Fill(&state)
	state.Snapshot.TakenAt = millionYears
	state.Snapshot.HeldKeys = nil // no file keeps them
	return state
}

// TestFileIsAsRecorded: the file of today's version is written byte by byte as recorded, and reads as what was written.
func TestFileIsAsRecorded(t *testing.T) {
	golden.Tagged(t, body{})
	golden.Tagged(t, State{})
	content, err := Encode(recordedState(), 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "version-2.golden", content)
	got, err := Decode(content)
	if err != nil || !reflect.DeepEqual(got, recordedState()) {
		t.Errorf("%v: read as %+v", err, got)
	}
}

// TestRecordedFilesAreRead: the recorded files of both versions read as what was recorded.
func TestRecordedFilesAreRead(t *testing.T) {
	for name, want := range map[string]func(*State){
		"version-2.golden": func(*State) {},
		"version-1.golden": func(s *State) { s.Snapshot.LostCalls, s.Snapshot.Endpoints = nil, nil },
	} {
		content, err := os.ReadFile("testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		state := recordedState()
		want(&state)
		if got, err := Decode(content); err != nil || !reflect.DeepEqual(got, state) {
			t.Errorf("%s: %v: %+v", name, err, got)
		}
	}
}

// TestFirstVersionIsAsRecorded holds the recorded file of the first version, which nothing writes any more, against what a writer of
// it would write.
func TestFirstVersionIsAsRecorded(t *testing.T) {
	state := recordedState()
	text, err := encoder.Marshal(bodyV1{state.Courier, state.Snapshot.TakenAt, state.Snapshot.Groups, state.Snapshot.AnswerTimes})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "version-1.golden", atomicfile.Encode(magic, 1, text))
}

// TestStateInJSONIsAsRecorded: what "state show --output json" prints, and a script reads.
func TestStateInJSONIsAsRecorded(t *testing.T) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetIndent("", "  ")
	var state State
	golden.Fill(&state)
	if err := encoder.Encode(state); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "state.json.golden", text.Bytes())
	var again State
	if err := json.Unmarshal(text.Bytes(), &again); err != nil || !reflect.DeepEqual(again, state) {
		t.Errorf("%v: read as %+v", err, again)
	}
}
