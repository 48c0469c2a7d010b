package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// checkEverySplit feeds text in two parts, split at each byte, and then byte by byte. It checks that the result is always want.
func checkEverySplit(t *testing.T, text string, want any, feed func(parts ...[]byte) any) {
	t.Helper()
	var single [][]byte
	for i := range text {
		single = append(single, []byte(text[i:i+1]))
		if got := feed([]byte(text[:i]), []byte(text[i:])); !reflect.DeepEqual(got, want) {
			t.Fatalf("split at %d: %q, want %q", i, got, want)
		}
	}
	if got := feed(single...); !reflect.DeepEqual(got, want) {
		t.Fatalf("byte by byte: %q, want %q", got, want)
	}
}

func TestCommandsSplitAnywhere(t *testing.T) {
	text := "*1\r\n$4\r\nPING\r\n*2\r\n$1\r\n\r\r\n$3\r\n\n\x00$\r\n*1\r\n$0\r\n\r\n"
	want := [][][]byte{{[]byte("PING")}, {[]byte("\r"), []byte("\n\x00$")}, {{}}}
	checkEverySplit(t, text, want, func(parts ...[]byte) any {
		var c CommandParser
		var all [][][]byte
		for _, part := range parts {
			got, err := c.Feed(part)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, got...)
		}
		if !c.BetweenCommands() {
			t.Fatal("an incomplete command is buffered at the end")
		}
		return all
	})
}

func TestMalformedCommands(t *testing.T) {
	for text, want := range map[string]error{
		"PING\r\n": ErrFraming, "*1\n$4\r\n": ErrFraming, "*0\r\n": ErrFraming, "*-1\r\n": ErrFraming,
		"*1\r\n:4\r\n": ErrFraming, "*1\r\n$x\r\n": ErrFraming, "*1\r\n$1\r\nab\r\n": ErrFraming, "*17\r\n": ErrOversize,
		"*1\r\n$65537\r\n": ErrOversize, "*1\r\n$" + strings.Repeat("1", 40): ErrOversize,
		"*1\r\n$60000000\r\n": ErrOversize, "*5\r\n$5000\r\n": ErrOversize, "*1\r\n$-1\r\n": ErrFraming,
		strings.Repeat("*", 100): ErrOversize, "*" + strings.Repeat("1", 100): ErrOversize,
	} {
		var c CommandParser
		if got, err := c.Feed([]byte(text)); !errors.Is(err, want) || len(got) > 0 {
			t.Errorf("%.30q: %v %v, want %v", text, got, err, want)
		}
		if _, err := c.Feed([]byte("*1\r\n$4\r\nPING\r\n")); err == nil {
			t.Errorf("%.30q: parsed more commands after an error", text)
		}
	}
}

// TestLongBodyOnlyForValidEnqueue checks that a long body is buffered only for an ENQUEUE whose other arguments are valid.
func TestLongBodyOnlyForValidEnqueue(t *testing.T) {
	head := func(name, options string) []byte {
		return fmt.Appendf(nil, "*5\r\n$7\r\n%s\r\n$1\r\n0\r\n$1\r\na\r\n$%d\r\n%s\r\n$60000\r\n", name, len(options), options)
	}
	for _, c := range []struct {
		name, options string
		ok            bool
	}{{"ENQUEUE", "c=x,d=5,dest=1", true}, {"enqueue", "c=x,d=5,dest=1", true}, {"ENQUEUX", "c=x,d=5,dest=1", false},
		{"ENQUEUE", "c=x,d=y,dest=1", false}, {"ENQUEUE", "c=x,d=5", false}} {
		var p CommandParser
		if _, err := p.Feed(head(c.name, c.options)); (err == nil) != c.ok {
			t.Errorf("%s %s: %v", c.name, c.options, err)
		}
		if _, err := p.Feed(make([]byte, 100)); c.ok && (err != nil || p.PartialBytes() < 100) {
			t.Errorf("%s %s: %v, %d bytes buffered", c.name, c.options, err, p.PartialBytes())
		}
	}
}

func TestCommandsBeforeMalformedOneAreReturned(t *testing.T) {
	var c CommandParser
	if got, err := c.Feed([]byte("*1\r\n$4\r\nPING\r\nrubbish\r\n")); len(got) != 1 || err == nil {
		t.Errorf("%q %v", got, err)
	}
}

func TestReadEnqueue(t *testing.T) {
	read := func(id, fields string) (Enqueue, error) {
		return ReadEnqueue([][]byte{[]byte("ENQUEUE"), []byte("0"), []byte(id), []byte(fields), []byte("b\r\n")})
	}
	got, err := read("i-1", "c=notice,d=8000,zz=1,dest=7,again=1,k=m,t=p")
	want := Enqueue{ID: "i-1", Class: "notice", Destination: 7, TTLMs: 8000, Tenant: "p", IdempotencyKey: "m", Resubmitted: true, Body: []byte("b\r\n")}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v %v", got, err)
	}
	for _, bad := range [][2]string{{"", "d=1,dest=1"}, {"a b", "d=1,dest=1"}, {"a\r\nX: y", "d=1,dest=1"}, {"a", "dest=1"},
		{"a", "d=-1,dest=1"}, {"a", "d=1x,dest=1"}, {"a", "d=99999999999,dest=1"}, {"a", "d=1"}, {"a", "d=1,dest=x"},
		{"a", "d=1,dest=1,k=\r\n"}, {strings.Repeat("a", 129), "d=1,dest=1"}, {"a", ""}} {
		if got, err := read(bad[0], bad[1]); err == nil {
			t.Errorf("%q read as %+v", bad, got)
		}
	}
	if _, err := ReadEnqueue([][]byte{[]byte("ENQUEUE"), []byte("0")}); err == nil {
		t.Error("two arguments were accepted")
	}
}

// responseFeeder returns a function that parses parts and returns the responses. wantAtEOF says whether the last response must be
// completed by the end of the stream.
func responseFeeder(t *testing.T, wantAtEOF bool) func(parts ...[]byte) any {
	return func(parts ...[]byte) any {
		a := NewResponseParser(64)
		var all []Response
		for _, part := range parts {
			got, done, err := a.Feed(part)
			if err != nil {
				t.Fatal(err)
			}
			if done {
				all = append(all, got)
			}
		}
		if last, ok := a.End(); ok != wantAtEOF {
			t.Fatalf("response completed by the end of the stream: %v", ok)
		} else if ok {
			all = append(all, last)
		}
		return all
	}
}

func TestResponsesSplitAnywhere(t *testing.T) {
	for text, want := range map[string]Response{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load-Report: x0=0.4,x1=25\r\n\r\nok": {Status: 200, LoadReport: "x0=0.4,x1=25", Body: []byte("ok")},
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n\r\nHTTP/1.1 429 Too Many\r\nx-backoff-ms: 250.5\r\n" +
			"content-length: 0\r\n\r\n": {Status: 429, BackoffMs: 251},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\na\r\n\r\n1\r\nb\r\n0\r\nTrailer: 1\r\n\r\n": {Status: 200, Body: []byte("a\r\nb")},
		"HTTP/1.1 204 No Content\r\n\r\n": {Status: 204},
		"HTTP/1.1 503 Full\r\nX-Egress-Full: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx": {Status: 503, EgressFull: true, Close: true, Body: []byte("x")},
	} {
		checkEverySplit(t, text, []Response{want}, responseFeeder(t, false))
	}
	checkEverySplit(t, "HTTP/1.0 500 No\n\nbody", []Response{{Status: 500, Close: true, Body: []byte("body")}}, responseFeeder(t, true))
}

func TestMalformedResponses(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n"
	for _, text := range []string{"rubbish\r\n", "HTTP/2 200\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", ok + "no colon\r\n",
		ok + "a b: c\r\n", ok + "Content-Length: x\r\n", ok + "Content-Length: -1\r\n", ok + "Content-Length: 65\r\n\r\n",
		ok + "Content-Length: 1\r\nContent-Length: 2\r\n", ok + "Transfer-Encoding: gzip\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", ok + "Transfer-Encoding: chunked\r\n\r\n41\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc", ok + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		strings.Repeat("x", maxHeadBytes+1), ok + strings.Repeat("A: b\r\n", maxHeadBytes/6), ok + "\r\n" + strings.Repeat("x", 65), "HTTP/1.1 100 Go\r\n\r\nnoise", "\r\nHTTP/2", "\x00", "noise without an end of line",
		"HTTP/1.1 429 Full\r\nContent-Length: 3000000000\r\n\r\n"} {
		a := NewResponseParser(64)
		if got, done, err := a.Feed([]byte(text)); !errors.Is(err, ErrMalformedResponse) || done {
			t.Errorf("%.60q: %+v %v", text, got, err)
		}
		if _, ended := a.End(); ended {
			t.Errorf("%.60q: taken for a response at the end of the stream", text)
		}
	}
}

// TestDataAfterResponse checks that data after a response leaves the response valid and fails the parser. Otherwise the
// data would be taken for the start of the next response.
func TestDataAfterResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for _, extra := range []string{ok, "noise", "\r\n", "\x00"} {
		a := NewResponseParser(64)
		got, done, err := a.Feed([]byte(ok + extra))
		if got.Status != 200 || !done || !errors.Is(err, ErrMalformedResponse) {
			t.Errorf("%q: %+v %v %v", extra, got, done, err)
		}
		if got, done, err := a.Feed([]byte(ok)); done || err == nil {
			t.Errorf("after %q: %+v %v", extra, got, err)
		}
	}
}

func TestTruncatedResponse(t *testing.T) {
	a := NewResponseParser(64)
	a.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Le"))
	if status, begun := a.Started(); status != 200 || !begun {
		t.Errorf("got status %d, started %v; want 200, true", status, begun)
	}
}

func TestRequestEncoding(t *testing.T) {
	one := string(EncodeDelivery("h:1", 1500, []Message{{ID: "a", IdempotencyKey: "m", Body: []byte("x\r\n\x00")}}))
	if want := "POST /hook HTTP/1.1\r\nHost: h:1\r\nX-Call-Id: a\r\nX-Budget-Ms: 1500\r\nIdempotency-Key: m\r\n" +
		"Content-Length: 4\r\n\r\nx\r\n\x00"; one != want {
		t.Errorf("%q", one)
	}
	two := EncodeDelivery("h:1", 9, []Message{{ID: "a", Body: []byte("\r\n")}, {ID: "b", IdempotencyKey: "m", Body: nil}})
	if head, body, _ := bytes.Cut(two, []byte("\r\n\r\n")); string(body) != "a - 2\r\n\r\n\r\nb m 0\r\n\r\n" ||
		!bytes.Contains(head, []byte(fmt.Sprintf("Content-Length: %d", len(body)))) {
		t.Errorf("%q", two)
	}
	if ends := ReadOutcomes([]byte("a accepted\r\nb deferred\r\nrubbish\r\n")); !reflect.DeepEqual(ends, map[string]string{"a": Accepted, "b": Deferred}) {
		t.Errorf("%v", ends)
	}
	notices := string(EncodeNotices("h:1", []Notice{{ID: "a\""}, {ID: "b", Rejected: true, RetryAfterMs: 5}, {ID: "c", Rejected: true}}))
	if want := "{\"id\":\"a\\\"\",\"status\":\"undeliverable\"}\n{\"id\":\"b\",\"status\":\"deferred\",\"again_ms\":5}\n" +
		"{\"id\":\"c\",\"status\":\"deferred\"}\n"; !strings.HasSuffix(notices, "\r\n\r\n"+want) {
		t.Errorf("%q", notices)
	}
}

func TestListOmitsInvalidEntries(t *testing.T) {
	host := func(name, dial, health, dest string) string {
		return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":%s,"health":%q,"share":1.5}`, name, dial, dest, health)
	}
	l, err := ReadList([]byte(`{"seq":4,"whole":true,"hosts":[` + strings.Join([]string{host("a", "127.0.0.1:80", "in_service", "3"),
		host("b", "nowhere", "in_service", "3"), host("c", "127.0.0.1:80", "dancing", "3"), host("", "127.0.0.1:80", "in_service", "3"),
		host("d", "127.0.0.1:80", "in_service", `"x"`), host("e", "127.0.0.1:99999", "in_service", "3"), host("f", "", "terminated", "3"),
		host("g", "127.0.0.1:80", "in_service", "-1"), `7`}, ",") + `]}`))
	if err != nil || l.Version != 4 || !l.Complete || len(l.Hosts) != 2 || len(l.Invalid) != 7 || l.Hosts[0].Rate != 1.5 {
		t.Errorf("%+v %v", l, err)
	}
	for _, bad := range []string{"", "[]", `{"hosts":[]}`, `{"seq":"x"}`, `{"seq":1,"hosts":3}`} {
		if l, err := ReadList([]byte(bad)); err == nil {
			t.Errorf("%q read as %+v", bad, l)
		}
	}
}

// TestTruncatedList checks that a list truncated at any byte yields exactly its complete entries.
func TestTruncatedList(t *testing.T) {
	entry := `{"host":"%s","dial":"127.0.0.1:80","site":"a","class":"m","block":3,"health":"terminating","share":1.5}`
	text := `{"seq":4,"whole":true,"x":{"y":[1]},"hosts":[` + fmt.Sprintf(entry+","+entry, "a", "b") + `]}`
	whole, err := ReadList([]byte(text))
	if err != nil || len(whole.Hosts) != 2 {
		t.Fatal(whole, err)
	}
	for i := range text {
		want := whole.Hosts[:strings.Count(text[:i], "1.5}")]
		if got := ReadTruncatedList([]byte(text[:i])); len(got.Hosts) != len(want) || len(want) > 0 && (!reflect.DeepEqual(got.Hosts, want) || got.Version != 4) {
			t.Fatalf("truncated at %d: %+v", i, got)
		}
	}
	for _, bad := range []string{"", "[]", "{\"hosts\":3}", "noise"} {
		if got := ReadTruncatedList([]byte(bad)); len(got.Hosts) > 0 {
			t.Errorf("%q read as %+v", bad, got)
		}
	}
}

func TestPressure(t *testing.T) {
	names := []string{"x0", "x1"}
	if got := LoadValues("x1=25, zz=1,x0=0.4", names); !reflect.DeepEqual(got, []float64{0.4, 25}) {
		t.Errorf("%v", got)
	}
	for _, bad := range []string{"", "x0=1", "x0=a,x1=1", "x0=NaN,x1=1", "x0=1,x0=1", "x0=-1,x1=1"} {
		if got := LoadValues(bad, names); got != nil {
			t.Errorf("%q read as %v", bad, got)
		}
	}
}

func FuzzResponseParser(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, split := NewResponseParser(64), NewResponseParser(64)
		want, _, _ := whole.Feed(b)
		var got Response
		for i, done := 0, false; i < len(b) && !done; i++ {
			got, done, _ = split.Feed(b[i : i+1])
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v in one piece, %+v byte by byte", want, got)
		}
	})
}

func FuzzCommandParser(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n$0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var whole, split CommandParser
		want, _ := whole.Feed(b)
		var got [][][]byte
		for i := range b {
			commands, _ := split.Feed(b[i : i+1])
			got = append(got, commands...)
		}
		if len(got) != len(want) {
			t.Fatalf("%q in one piece, %q byte by byte", want, got)
		}
	})
}

// TestPartialCommandKeepsNoLargeBuffer guards against a client whose few bytes of an incomplete command hold the buffer of all that it sent
// with them: many such clients took several times the memory that was counted.
func TestPartialCommandKeepsNoLargeBuffer(t *testing.T) {
	const part = "*5\r\n$7\r\nENQUEUE\r\n$600\r\n"
	var parser CommandParser
	text := strings.Repeat("*1\r\n$4\r\nPING\r\n", 1000) + part + strings.Repeat("i", 500)
	if commands, err := parser.Feed([]byte(text)); len(commands) != 1000 || err != nil {
		t.Fatalf("%d commands, %v", len(commands), err)
	}
	if got := cap(parser.buf); got > 2*500+smallBuffer {
		t.Errorf("500 bytes are kept in a buffer of %d", got)
	}
	if got := parser.PartialBytes(); got < cap(parser.buf)+len("ENQUEUE") {
		t.Errorf("%d bytes are counted; the buffer alone has %d", got, cap(parser.buf))
	}
	for range 499 {
		parser.Feed([]byte("x"))
	}
	if got := cap(parser.buf); got > 2*1000+smallBuffer {
		t.Errorf("999 bytes are kept in a buffer of %d", got)
	}
}
