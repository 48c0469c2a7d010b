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

var kills = flag.Int("kills", 60, "how often a process is killed while it writes")

func TestMain(m *testing.M) {
	if dir := os.Getenv("LEARNED_WRITES"); dir != "" {
		writeForEver(dir)
	}
	os.Exit(m.Run())
}

const at = dispatch.Micros(1_700_000_000_000_000)

func sums(t *rapid.T, n int) (all []dispatch.SumSnapshot) {
	for range n {
		all = append(all, dispatch.SumSnapshot{Weight: rapid.Float64Range(0, 1e6).Draw(t, "weight"), Total: rapid.Float64Range(0, 1e12).Draw(t, "total")})
	}
	return all
}

func ago(t *rapid.T, what string) dispatch.Micros {
	return at - dispatch.Micros(rapid.Int64Range(0, 1e9).Draw(t, what))
}

func span(t *rapid.T, what string) dispatch.Micros {
	return dispatch.Micros(rapid.Int64Range(0, int64(longest)).Draw(t, what))
}

func state(t *rapid.T) State {
	snapshot := dispatch.Snapshot{TakenAt: at, AnswerTimes: sums(t, 1)[0], LostCalls: sums(t, 10)}
	for i := range rapid.IntRange(0, 30).Draw(t, "routes") {
		snapshot.Groups = append(snapshot.Groups, dispatch.GroupSnapshot{Destination: dispatch.DestinationID(i), Endpoint: dispatch.EndpointID(rapid.StringN(0, 20, -1).Draw(t, "endpoint")),
			AnswerTimes: sums(t, 1)[0], Deliveries: sums(t, 1)[0], CountedSince: ago(t, "since"), LastCall: ago(t, "call"), LastDelivery: ago(t, "done"),
			RetryAfterUntil: at + span(t, "wait"), Interval: span(t, "gap"), ThrottledInterval: span(t, "knee"), FailureSigns: rapid.IntRange(0, 99).Draw(t, "strikes"),
			Outage: rapid.Bool().Draw(t, "sick"), OutageAt: ago(t, "sick at"), WarmingUp: rapid.Bool().Draw(t, "cold"), WarmedFor: span(t, "ramped"),
			UsualRate: rapid.Float64Range(0, 1e6).Draw(t, "usual"), ReportedRate: rapid.Float64Range(0, 1e6).Draw(t, "rate"),
			Breakers: []dispatch.BreakerSnapshot{{Failures: rapid.IntRange(0, 6).Draw(t, "fails"), OpenUntil: at + span(t, "until")}}})
	}
	snapshot.Endpoints = append(snapshot.Endpoints, dispatch.EndpointSnapshot{Endpoint: "x", FailureRuns: []dispatch.RunSnapshot{{Failures: 2, EjectedUntil: at + 5}}})
	return State{Courier: rapid.StringN(1, 30, -1).Draw(t, "courier"), Snapshot: snapshot}
}

// TestEncodeDecode: what is written is what is read, to the bit; a limit only takes whole routes away, the last called last.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := state(t)
		content, err := Encode(state, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(content)
		if err != nil {
			t.Fatal(err)
		}
		if len(back.Snapshot.Groups) != len(state.Snapshot.Groups) || back.Courier != state.Courier || !reflect.DeepEqual(back.Snapshot.LostCalls, state.Snapshot.LostCalls) {
			t.Fatalf("%+v\nbecame %+v", state, back)
		}
		limit := rapid.IntRange(600, 4000).Draw(t, "limit")
		small, err := Encode(state, limit)
		if errors.Is(err, ErrTooLarge) {
			return
		}
		if back, err = Decode(small); err != nil || len(small) > limit {
			t.Fatalf("%d bytes of %d: %v", len(small), limit, err)
		}
		kept := map[dispatch.DestinationID]bool{}
		oldest := at
		for _, group := range back.Snapshot.Groups {
			kept[group.Destination], oldest = true, min(oldest, group.LastCall)
		}
		for _, group := range state.Snapshot.Groups {
			if !kept[group.Destination] && group.LastCall > oldest {
				t.Fatalf("a route called at %d was left out for one called at %d", group.LastCall, oldest)
			}
		}
	})
}

// TestSpoilt: a flipped bit anywhere, a cut anywhere, nonsense and an empty file are each reported and never used.
func TestSpoilt(t *testing.T) {
	content, err := Encode(State{Courier: "n1", Snapshot: dispatch.Snapshot{TakenAt: at, Groups: []dispatch.GroupSnapshot{{Destination: 1}, {Destination: 2}}}}, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	for i := range content {
		for bit := range 8 {
			bad := append([]byte(nil), content...)
			bad[i] ^= 1 << bit
			if state, err := Decode(bad); err == nil {
				t.Fatalf("bit %d of byte %d flipped: %+v", bit, i, state)
			}
		}
		if _, err := Decode(content[:i]); err == nil {
			t.Fatalf("cut at byte %d", i)
		}
	}
	for _, snapshot := range []dispatch.Snapshot{
		{TakenAt: at, AnswerTimes: dispatch.SumSnapshot{Weight: math.NaN()}},
		{TakenAt: at, Groups: []dispatch.GroupSnapshot{{UsualRate: math.Inf(1)}}},
		{TakenAt: at, Groups: []dispatch.GroupSnapshot{{Interval: -1}}},
		{TakenAt: at, Groups: []dispatch.GroupSnapshot{{LastCall: at + 1}}},
		{TakenAt: at, Groups: []dispatch.GroupSnapshot{{RetryAfterUntil: at + 2*longest}}},
		{TakenAt: at, Groups: []dispatch.GroupSnapshot{{Breakers: []dispatch.BreakerSnapshot{{OpenUntil: math.MaxInt64}}}}},
		{TakenAt: at, Endpoints: []dispatch.EndpointSnapshot{{Endpoint: "x", FailureRuns: []dispatch.RunSnapshot{{EjectedUntil: math.MaxInt64}}}}},
		{TakenAt: at, Endpoints: []dispatch.EndpointSnapshot{{Endpoint: "x"}}},
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

func FuzzDecode(f *testing.F) {
	content, _ := Encode(State{Courier: "n1", Snapshot: dispatch.Snapshot{TakenAt: at, Groups: []dispatch.GroupSnapshot{{Destination: 1}}}}, 1<<16)
	f.Add(content[headSize:])
	f.Fuzz(func(t *testing.T, text []byte) {
		for v := range uint32(3) {
			if state, err := Decode(atomicfile.Encode(magic, v, text)); err == nil && validate(state.Snapshot) != nil {
				t.Fatal("taken, and holds what cannot be")
			}
		}
	})
}

// TestFoldersAndVersions: whose file it is, how old, of which version and what else may stand in its place.
func TestFoldersAndVersions(t *testing.T) {
	good := State{Courier: "n1", Snapshot: dispatch.Snapshot{TakenAt: at, Groups: []dispatch.GroupSnapshot{{Destination: 7, Outage: true}}}}
	content, err := Encode(good, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	old, err := encoder.Marshal(bodyV1{Courier: "n1", TakenAt: at, Groups: good.Snapshot.Groups})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		content []byte
		want    error
	}{
		"sound": {content, nil}, "older": {atomicfile.Encode(magic, 1, old), nil}, "oldest": {atomicfile.Encode(magic, 0, old), ErrOlder}, "newer": {atomicfile.Encode(magic, version+1, content[headSize:]), ErrNewer},
		"empty": {nil, ErrCorrupt}, "huge": {make([]byte, 1<<17), ErrTooLarge}, "nonsense": {[]byte(strings.Repeat("x", 99)), ErrCorrupt},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, FileName), c.content, 0o600); err != nil {
			t.Fatal(err)
		}
		state, err := Read(dir, "n1", at+5, 1<<16)
		if !errors.Is(err, c.want) || err == nil && (len(state.Snapshot.Groups) != 1 || !state.Snapshot.Groups[0].Outage) {
			t.Errorf("%s: %+v, %v", name, state, err)
		}
	}
	dir := t.TempDir()
	if _, err := Read(dir, "n1", at, 1<<16); !errors.Is(err, ErrNotExist) {
		t.Error(err)
	}
	if err := Write(dir, content); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(dir, "n2", at, 1<<16); !errors.Is(err, ErrOtherCourier) {
		t.Error(err)
	}
	if _, err := Read(dir, "n1", at-1, 1<<16); !errors.Is(err, ErrFuture) {
		t.Error(err)
	}
	for i := range content { // a write that was cut off at any byte leaves the old file, and is swept away
		if err := os.WriteFile(filepath.Join(dir, "."+FileName+"123"), content[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(dir, "n1", at, 1<<16); err != nil || RemoveTempFiles(dir) != 1 {
			t.Fatal(i, err)
		}
	}
	os.Remove(filepath.Join(dir, FileName))
	os.Mkdir(filepath.Join(dir, FileName), 0o700)
	if _, err := Read(dir, "n1", at, 1<<16); !errors.Is(err, ErrCorrupt) {
		t.Error(err)
	}
	if room, limit := Reserve(3e6); room != int64(2*limit) || limit%block != 0 || limit < 64<<10 {
		t.Errorf("room %d, limit %d", room, limit)
	}
}

// writeForEver is the process that is killed: each file says how many it has written, and stdout which is finished.
func writeForEver(dir string) {
	routes := make([]dispatch.GroupSnapshot, 300)
	for i := 1; ; i++ {
		content, err := Encode(State{Courier: "n1", Snapshot: dispatch.Snapshot{TakenAt: at + dispatch.Micros(i), Groups: routes}}, 1<<18)
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

// TestKilledWhileWriting: after a kill at any moment the old content or the new one is there, whole.
func TestKilledWhileWriting(t *testing.T) {
	dir := t.TempDir()
	swept := 0
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
		finished := 0
		for _, line := range strings.Fields(out.String()) {
			fmt.Sscan(line, &finished)
		}
		state, err := Read(dir, "n1", at+1e9, 1<<18)
		if errors.Is(err, ErrNotExist) && finished == 0 {
			continue
		}
		if err != nil || finished > 0 && int(state.Snapshot.TakenAt-at) < finished || len(state.Snapshot.Groups) != 300 {
			t.Fatalf("kill %d: %v; %d finished, read %d", n, err, finished, state.Snapshot.TakenAt-at)
		}
		swept += RemoveTempFiles(dir)
	}
	t.Logf("%d kills, %d in the middle of a write", *kills, swept)
}

// TestKeeperNeverWaits: a disk that does not answer holds up nobody; a full one is notified once, and once when it is over.
func TestKeeperNeverWaits(t *testing.T) {
	var mu sync.Mutex
	var log strings.Builder
	logger := slog.New(slog.NewTextHandler(&locked{&mu, &log}, nil))
	stuck := make(chan struct{})
	writer := newWriter(t.TempDir(), "n1", 1<<16, logger, func(string, []byte) error { <-stuck; return nil })
	began := time.Now()
	for range 1000 {
		writer.Offer(dispatch.Snapshot{TakenAt: at})
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("a thousand offers took %v", took)
	}
	writer.Close(20 * time.Millisecond)
	close(stuck)
	<-writer.done
	if writer.written > 3 {
		t.Errorf("%d written", writer.written)
	}
	n := 0
	full := newWriter(t.TempDir(), "n1", 1<<16, logger, func(string, []byte) error {
		if n++; n < 5 {
			return errors.New("no space left")
		}
		return nil
	})
	for i := range 6 {
		full.Offer(dispatch.Snapshot{TakenAt: at + dispatch.Micros(i)})
		time.Sleep(20 * time.Millisecond)
	}
	full.Close(time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, c := range []struct {
		text  string
		times int
	}{{"snapshot not written in time", 1}, {"no space left", 1}, {"written again", 1}} {
		if got := strings.Count(log.String(), c.text); got != c.times {
			t.Errorf("%q is notified %d times:\n%s", c.text, got, log.String())
		}
	}
}

type locked struct {
	mu *sync.Mutex
	b  *strings.Builder
}

func (l *locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}
