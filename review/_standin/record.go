package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of one run. Times are in seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
