// Command peers2 plays one case of the second review: it starts a courier, stands in for its clients, endpoints and platform, and judges what
// they saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

var (
	rootDir  string
	cleanups []func()
	// trouble is false with TROUBLE=0: the case is played without its disruption.
	trouble = os.Getenv("TROUBLE") != "0"
)

var cases = map[string]func(*record) verdict{}

// verdict is what a case has found.
type verdict struct {
	broken []string // each break of the rule
	unable string   // why the case could not run; empty: it ran
}

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// lineWriter writes the log of a courier to the record.
type lineWriter struct {
	record *record
	prefix string
	mu     sync.Mutex
	rest   []byte
}

func (w *lineWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rest = append(w.rest, b...)
	for {
		end := bytes.IndexByte(w.rest, '\n')
		if end < 0 {
			return len(b), nil
		}
		w.record.line("%s%s", w.prefix, w.rest[:end])
		w.rest = w.rest[end+1:]
	}
}

func finish(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Printf("the case could not run: "+format+"\n", args...)
	finish(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: peers2 CASE FOLDER")
		os.Exit(2)
	}
	rootDir, _ = os.Getwd()
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	r := &record{file: file, began: time.Now()}
	r.line("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(110*time.Second, func() { cannotRun("no end after 110 s") })
	v := cases[os.Args[1]](r)
	switch {
	case v.unable != "":
		r.line("the case could not run: %s", v.unable)
		cannotRun("%s", v.unable)
	case len(v.broken) > 0:
		for i, text := range v.broken {
			r.line("BROKEN: %s", text)
			if i < 5 {
				fmt.Println("broken:", text)
			}
		}
		fmt.Printf("broken %d times\n", len(v.broken))
		finish(1)
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	finish(0)
}
