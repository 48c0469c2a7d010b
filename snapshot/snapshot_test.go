package snapshot

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pineport/atomicfile"
	"pineport/dispatch"
)

var kills = flag.Int("kills", 60, "number of times that a writing process is killed")

func TestMain(m *testing.M) {
	if dir := os.Getenv("LEARNED_WRITES"); dir != "" {
		writeUntilKilled(dir)
	}
	os.Exit(m.Run())
}

const baseTime = dispatch.Micros(1_700_000_000_000_000)

func drawSums(t *rapid.T, n int) (all []dispatch.SumSnapshot) {
	for range n {
		all = append(all, dispatch.SumSnapshot{Weight: rapid.Float64Range(0, 1e6).Draw(t, "weight"), Total: rapid.Float64Range(0, 1e12).Draw(t, "total")})
	}
	return all
}

func drawPastTime(t *rapid.T, label string) dispatch.Micros {
	return baseTime - dispatch.Micros(rapid.Int64Range(0, 1e9).Draw(t, label))
}

func drawInterval(t *rapid.T, label string) dispatch.Micros {
	return dispatch.Micros(rapid.Int64Range(0, int64(maxInterval)).Draw(t, label))
}

func drawState(t *rapid.T) State {
	snapshot := dispatch.Snapshot{TakenAt: baseTime, AnswerTimes: drawSums(t, 1)[0], LostCalls: drawSums(t, 10)}
	for i := range rapid.IntRange(0, 30).Draw(t, "routes") {
		snapshot.Groups = append(snapshot.Groups, dispatch.GroupSnapshot{Destination: dispatch.DestinationID(i), Endpoint: dispatch.EndpointID(rapid.StringN(0, 20, -1).Draw(t, "endpoint")),
			AnswerTimes: drawSums(t, 1)[0], Deliveries: drawSums(t, 1)[0], CountedSince: drawPastTime(t, "since"), LastCall: drawPastTime(t, "call"), LastDelivery: drawPastTime(t, "done"),
			RetryAfterUntil: baseTime + drawInterval(t, "wait"), Interval: drawInterval(t, "gap"), ThrottledInterval: drawInterval(t, "knee"), FailureSigns: rapid.IntRange(0, 99).Draw(t, "strikes"),
			Outage: rapid.Bool().Draw(t, "sick"), OutageAt: drawPastTime(t, "outage at"), WarmingUp: rapid.Bool().Draw(t, "cold"), WarmedFor: drawInterval(t, "ramped"),
			UsualRate: rapid.Float64Range(0, 1e6).Draw(t, "usual"), ReportedRate: rapid.Float64Range(0, 1e6).Draw(t, "rate"),
			Breakers: []dispatch.BreakerSnapshot{{Failures: rapid.IntRange(0, 6).Draw(t, "fails"), OpenUntil: baseTime + drawInterval(t, "until")}}})
	}
	snapshot.Endpoints = append(snapshot.Endpoints, dispatch.EndpointSnapshot{Endpoint: "x", FailureRuns: []dispatch.RunSnapshot{{Failures: 2, EjectedUntil: baseTime + 5}}})
	return State{Courier: rapid.StringN(1, 30, -1).Draw(t, "courier"), Snapshot: snapshot}
}

// TestEncodeDecode: decoding must return the courier, the lost calls and the number of groups that were encoded. With a size
// limit, the groups with the oldest last call must be removed first; the endpoints are not checked.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		content, err := Encode(state, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(content)
		if err != nil {
			t.Fatal(err)
		}
		if len(decoded.Snapshot.Groups) != len(state.Snapshot.Groups) || decoded.Courier != state.Courier || !reflect.DeepEqual(decoded.Snapshot.LostCalls, state.Snapshot.LostCalls) {
			t.Fatalf("%+v\ndecoded as %+v", state, decoded)
		}
		limit := rapid.IntRange(600, 4000).Draw(t, "limit")
		limited, err := Encode(state, limit)
		if errors.Is(err, ErrTooLarge) {
			return
		}
		if decoded, err = Decode(limited); err != nil || len(limited) > limit {
			t.Fatalf("%d bytes with a limit of %d: %v", len(limited), limit, err)
		}
		kept := map[dispatch.DestinationID]bool{}
		oldestKept := baseTime
		for _, group := range decoded.Snapshot.Groups {
			kept[group.Destination], oldestKept = true, min(oldestKept, group.LastCall)
		}
		for _, group := range state.Snapshot.Groups {
			if !kept[group.Destination] && group.LastCall > oldestKept {
				t.Fatalf("a group last called at %d was removed, but one last called at %d was kept", group.LastCall, oldestKept)
			}
		}
	})
}

// TestDecodeRejectsDamage: Decode must reject a file with any single bit flipped, a file truncated at any byte, and a file with
// an intact checksum but implausible values.
func TestDecodeRejectsDamage(t *testing.T) {
	content, err := Encode(State{Courier: "n1", Snapshot: dispatch.Snapshot{TakenAt: baseTime, Groups: []dispatch.GroupSnapshot{{Destination: 1}, {Destination: 2}}}}, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	for i := range content {
		for bit := range 8 {
			damaged := append([]byte(nil), content...)
			damaged[i] ^= 1 << bit
			if state, err := Decode(damaged); err == nil {
				t.Fatalf("bit %d of byte %d flipped: %+v", bit, i, state)
			}
		}
		if _, err := Decode(content[:i]); err == nil {
			t.Fatalf("Decode accepted a file truncated at byte %d", i)
		}
	}
	for _, snapshot := range []dispatch.Snapshot{
		{TakenAt: baseTime, AnswerTimes: dispatch.SumSnapshot{Weight: math.NaN()}},
		{TakenAt: baseTime, Groups: []dispatch.GroupSnapshot{{UsualRate: math.Inf(1)}}},
		{TakenAt: baseTime, Groups: []dispatch.GroupSnapshot{{Interval: -1}}},
		{TakenAt: baseTime, Groups: []dispatch.GroupSnapshot{{LastCall: baseTime + 1}}},
		{TakenAt: baseTime, Groups: []dispatch.GroupSnapshot{{RetryAfterUntil: baseTime + 2*maxInterval}}},
		{TakenAt: baseTime, Groups: []dispatch.GroupSnapshot{{Breakers: []dispatch.BreakerSnapshot{{OpenUntil: math.MaxInt64}}}}},
		{TakenAt: baseTime, Endpoints: []dispatch.EndpointSnapshot{{Endpoint: "x", FailureRuns: []dispatch.RunSnapshot{{EjectedUntil: math.MaxInt64}}}}},
		{TakenAt: baseTime, Endpoints: []dispatch.EndpointSnapshot{{Endpoint: "x"}}},
	} {
		content, err := Encode(State{"n1", snapshot}, 1<<16)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(content); !errors.Is(err, ErrImplausible) {
			t.Errorf("%+v: %v", snapshot, err)
		}
	}
}

// FuzzDecode: Decode must not panic, and must not accept implausible values.
func FuzzDecode(f *testing.F) {
	content, _ := Encode(State{Courier: "n1", Snapshot: dispatch.Snapshot{TakenAt: baseTime, Groups: []dispatch.GroupSnapshot{{Destination: 1}}}}, 1<<16)
	f.Add(content[headerSize:])
	f.Fuzz(func(t *testing.T, text []byte) {
		for v := range uint32(3) {
			if state, err := Decode(atomicfile.Encode(magic, v, text)); err == nil && validate(state.Snapshot) != nil {
				t.Fatal("Decode accepted implausible values")
			}
		}
	})
}

// TestRead covers files of each version, damaged and oversized files, files of another courier or with a future time, the
// temporary files of interrupted writes, and a directory in place of the file. It also checks the results of Reserve.
func TestRead(t *testing.T) {
	want := State{Courier: "n1", Snapshot: dispatch.Snapshot{TakenAt: baseTime, Groups: []dispatch.GroupSnapshot{{Destination: 7, Outage: true}}}}
	content, err := Encode(want, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	version1, err := encoder.Marshal(bodyV1{Courier: "n1", TakenAt: baseTime, Groups: want.Snapshot.Groups})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		content []byte
		want    error
	}{
		"sound": {content, nil}, "older": {atomicfile.Encode(magic, 1, version1), nil}, "oldest": {atomicfile.Encode(magic, 0, version1), ErrVersionTooOld}, "newer": {atomicfile.Encode(magic, version+1, content[headerSize:]), ErrVersionTooNew},
		"empty": {nil, ErrCorrupt}, "huge": {make([]byte, 1<<17), ErrTooLarge}, "nonsense": {[]byte(strings.Repeat("x", 99)), ErrCorrupt},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, FileName), c.content, 0o600); err != nil {
			t.Fatal(err)
		}
		state, err := Read(dir, "n1", baseTime+5, 1<<16)
		if !errors.Is(err, c.want) || err == nil && (len(state.Snapshot.Groups) != 1 || !state.Snapshot.Groups[0].Outage) {
			t.Errorf("%s: %+v, %v", name, state, err)
		}
	}
	dir := t.TempDir()
	if _, err := Read(dir, "n1", baseTime, 1<<16); !errors.Is(err, ErrNotExist) {
		t.Error(err)
	}
	if err := Write(dir, content); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(dir, "n2", baseTime, 1<<16); !errors.Is(err, ErrOtherCourier) {
		t.Error(err)
	}
	if _, err := Read(dir, "n1", baseTime-1, 1<<16); !errors.Is(err, ErrFuture) {
		t.Error(err)
	}
	for i := range content { // the temporary file of a write interrupted at any byte is ignored and removed
		if err := os.WriteFile(filepath.Join(dir, "."+FileName+"123"), content[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(dir, "n1", baseTime, 1<<16); err != nil || RemoveTempFiles(dir) != 1 {
			t.Fatal(i, err)
		}
	}
	os.Remove(filepath.Join(dir, FileName))
	os.Mkdir(filepath.Join(dir, FileName), 0o700)
	if _, err := Read(dir, "n1", baseTime, 1<<16); !errors.Is(err, ErrCorrupt) {
		t.Error(err)
	}
	if reserved, limit := Reserve(3e6); reserved != int64(2*limit) || limit%blockSize != 0 || limit < 64<<10 {
		t.Errorf("%d bytes reserved, limit %d", reserved, limit)
	}
}

// writeUntilKilled writes files 1, 2, 3 and so on until the process is killed. File i has TakenAt = baseTime + i, and i is
// printed after the write.
func writeUntilKilled(dir string) {
	groups := make([]dispatch.GroupSnapshot, 300)
	for i := 1; ; i++ {
		content, err := Encode(State{Courier: "n1", Snapshot: dispatch.Snapshot{TakenAt: baseTime + dispatch.Micros(i), Groups: groups}}, 1<<18)
		if err == nil {
			err = Write(dir, content)
		}
		if err != nil {
			fmt.Println("fault", err)
			os.Exit(1)
		}
		fmt.Println(i)
	}
}

// TestKilledWhileWriting kills a writing process at various moments. Afterwards the file must have the complete old or the
// complete new content.
func TestKilledWhileWriting(t *testing.T) {
	dir := t.TempDir()
	leftovers := 0
	for n := range *kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "LEARNED_WRITES="+dir)
		var out strings.Builder
		cmd.Stdout = &out
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(5+n%25) * time.Millisecond)
		cmd.Process.Kill()
		cmd.Wait()
		lastFinished := 0
		for _, line := range strings.Fields(out.String()) {
			fmt.Sscan(line, &lastFinished)
		}
		state, err := Read(dir, "n1", baseTime+1e9, 1<<18)
		if errors.Is(err, ErrNotExist) && lastFinished == 0 {
			continue
		}
		if err != nil || lastFinished > 0 && int(state.Snapshot.TakenAt-baseTime) < lastFinished || len(state.Snapshot.Groups) != 300 {
			t.Fatalf("kill %d: %v; file %d was written, but file %d was read", n, err, lastFinished, state.Snapshot.TakenAt-baseTime)
		}
		leftovers += RemoveTempFiles(dir)
	}
	t.Logf("%d kills, %d temporary files removed", *kills, leftovers)
}

// TestWriterNeverBlocks: Offer must not wait for a hanging disk. Consecutive write failures must be logged once, and the first
// success after them once.
func TestWriterNeverBlocks(t *testing.T) {
	var mu sync.Mutex
	var log strings.Builder
	logger := slog.New(slog.NewTextHandler(&lockedWriter{&mu, &log}, nil))
	stuck := make(chan struct{})
	writer := newWriter(t.TempDir(), "n1", 1<<16, logger, func(string, []byte) error { <-stuck; return nil })
	start := time.Now()
	for range 1000 {
		writer.Offer(dispatch.Snapshot{TakenAt: baseTime})
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("1000 offers took %v", elapsed)
	}
	writer.Close(20 * time.Millisecond)
	close(stuck)
	<-writer.done
	if writer.written > 3 {
		t.Errorf("%d snapshots were written, want at most 3", writer.written)
	}
	n := 0
	failing := newWriter(t.TempDir(), "n1", 1<<16, logger, func(string, []byte) error {
		if n++; n < 5 {
			return errors.New("no space left")
		}
		return nil
	})
	for i := range 6 {
		failing.Offer(dispatch.Snapshot{TakenAt: baseTime + dispatch.Micros(i)})
		time.Sleep(20 * time.Millisecond)
	}
	failing.Close(time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, c := range []struct {
		text  string
		times int
	}{{"snapshot not written in time", 1}, {"no space left", 1}, {"written again", 1}} {
		if got := strings.Count(log.String(), c.text); got != c.times {
			t.Errorf("%q was logged %d times:\n%s", c.text, got, log.String())
		}
	}
}

type lockedWriter struct {
	mu     *sync.Mutex
	buffer *strings.Builder
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}
