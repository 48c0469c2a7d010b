// Command standin plays the cases of the review: the platform, discovery, endpoints and clients of one courier, on loopback addresses.
//
//	standin CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// limit bounds a run.
const limit = 110 * time.Second

// trouble reports whether the run has its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// cases are the plays by name.
var cases = map[string]func(*stage) (int, error){}

// stage is what all cases share.
type stage struct {
	record   *record
	root     string
	dir      string
	numbers  int
	platform *platform
}

// address returns a free loopback address.
func (s *stage) address() string {
	s.numbers++
	address, err := freeAddress(s.numbers)
	if err != nil {
		panic(err)
	}
	return address
}

// startCourier starts a courier with the list and the settings, and waits until it says yes.
func (s *stage) startCourier(disco *discovery, settings map[string]any) (*process, error) {
	var err error
	if s.platform, err = newPlatform(s.record, s.root, s.dir, s.address(), disco.address); err != nil {
		return nil, err
	}
	if err := s.platform.configure(disco.list, settings); err != nil {
		return nil, err
	}
	started, err := s.platform.start("courier", s.address())
	if err != nil {
		return nil, err
	}
	if !started.ready(30 * time.Second) {
		return nil, fmt.Errorf("the courier was not ready within 30 s")
	}
	return started, nil
}

// verdict returns the exit code for whether the rule held.
func verdict(ok bool) int {
	if ok {
		return held
	}
	return broken
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play runs one case in a temporary folder and ends its processes.
func play(run func(*stage) (int, error), root, recordPath string) int {
	r, err := openRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.say("%v", err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	s := &stage{record: r, root: root, dir: dir}
	var ended atomic.Bool
	end := func() {
		if !ended.Swap(true) && s.platform != nil {
			s.platform.stop()
		}
	}
	defer end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		code int
		err  error
	}
	results := make(chan result, 1)
	go func() {
		code, err := run(s)
		results <- result{code, err}
	}()
	r.add("trouble: %v", trouble)
	select {
	case got := <-results:
		if got.err != nil {
			r.say("the case could not run: %v", got.err)
			return cannotRun
		}
		r.say("%s", map[int]string{held: "the rule held", broken: "the rule was broken"}[got.code])
		return got.code
	case <-time.After(limit):
		r.say("the case took too long")
	case got := <-signals:
		r.say("ended by %v", got)
	}
	return cannotRun
}
