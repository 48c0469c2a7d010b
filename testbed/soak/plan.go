// Package soak runs real couriers on loopback under faults drawn from a seed: failing system calls, state
// folder errors, discovery faults, endpoint failures, reconnecting clients, clients that flood, floods of connections, repeated
// signals, upgrades and drains. It checks what clients and endpoints saw, and counts how often each fault took effect.
// A fault that never took effect was not tested.
package soak

import (
	"math/rand"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"pineport/testbed/faultproxy"
	"pineport/testbed/syscallfault"

	"golang.org/x/sys/unix"
)

// action is a fault or operation applied to a courier at a given time of the run.
type action struct {
	at          time.Duration
	name        string
	syscallName string // the system call that fails with effect for duration
	effect      syscallfault.Effect
	duration    time.Duration
	signals     []timedSignal
}

// The actions other than system call faults.
const (
	actionDrain           = "drain"
	actionSignals         = "signals"
	actionOpenConnections = "crowd"
	actionSilence         = "discovery open connections silent"
	actionHold            = "discovery new connections silent"
	actionHang            = "half of the calls hang"
	actionHoldUp          = "process held up"
	actionUpgrade         = "upgrade"
	actionCrashedUpgrade  = "upgrade whose successor crashes"
	actionDown            = "discovery refuses polls"
)

// timedSignal is a signal and the time from the one before it.
type timedSignal struct {
	delay  time.Duration
	signal syscall.Signal
}

// endsProcess reports whether the process ends with the signal, at once or later.
func (s timedSignal) endsProcess() bool { return s.signal != syscall.SIGHUP }

func (s timedSignal) name() string { return unix.SignalName(s.signal) }

// drawSignals draws a series of signals: a reload, a kill, or a request to end that may be repeated, mixed with reloads, and
// cut short by a kill.
func drawSignals(rng *rand.Rand) (series []timedSignal) {
	for range rng.Intn(3) {
		series = append(series, timedSignal{time.Duration(rng.Intn(300)) * time.Millisecond, syscall.SIGHUP})
	}
	switch rng.Intn(4) {
	case 0:
		series = append(series, timedSignal{time.Duration(rng.Intn(300)) * time.Millisecond, syscall.SIGKILL})
	case 1, 2:
		for range 1 + rng.Intn(3) {
			series = append(series, timedSignal{time.Duration(rng.Intn(600)) * time.Millisecond, syscall.SIGTERM})
		}
	default:
		series = append(series, timedSignal{0, syscall.SIGTERM}, timedSignal{time.Duration(rng.Intn(3600)) * time.Millisecond, syscall.SIGKILL})
	}
	return series
}

// plan holds the actions and fault rates that a seed determines.
type plan struct {
	quietPeriod        time.Duration // time before the first action
	actions            []action
	discoveryFaultRate float64 // share of polls with a fault
	bodies             int     // number of different bodies of successful answers; 0: each has its own
	endpointFaultRate  float64 // share of calls to endpoints that end with an error, without a response, or late
}

// shortTransfer is the number of bytes of a short read or write: a request takes eight of them. Single bytes, each of them a traced call,
// slow a process down more than its deadlines allow for; TestSystemCallsFail of cmd/pineport has them.
const shortTransfer = 16

// syscallFaults does not contain epoll_ctl: the Go runtime ends a process that cannot register its own event descriptor at its start, and
// its package net closes an accepted connection that it cannot register.

// syscallFaults are system calls that fail or transfer fewer bytes, under which every client request must
// still be answered.
var syscallFaults = []action{
	{syscallName: "accept4", effect: syscallfault.Effect{Errno: syscall.ECONNABORTED}}, {syscallName: "accept4", effect: syscallfault.Effect{Errno: syscall.ENFILE}},
	{syscallName: "accept4", effect: syscallfault.Effect{Errno: syscall.ENOBUFS}}, {syscallName: "accept4", effect: syscallfault.Effect{Errno: syscall.EMFILE}},
	{syscallName: "fcntl", effect: syscallfault.Effect{Errno: syscall.EMFILE}}, {syscallName: "dup", effect: syscallfault.Effect{Errno: syscall.EMFILE}},
	{syscallName: "connect", effect: syscallfault.Effect{Errno: syscall.EHOSTUNREACH}},
	{syscallName: "socket", effect: syscallfault.Effect{Errno: syscall.EMFILE}},
	{syscallName: "socket", effect: syscallfault.Effect{Errno: syscall.ENOBUFS}}, {syscallName: "connect", effect: syscallfault.Effect{Errno: syscall.EADDRNOTAVAIL}},
	{syscallName: "connect", effect: syscallfault.Effect{Errno: syscall.ENETUNREACH}}, {syscallName: "connect", effect: syscallfault.Effect{Errno: syscall.ETIMEDOUT}},
	{syscallName: "connect", effect: syscallfault.Effect{Errno: syscall.EINTR, After: true}}, {syscallName: "epoll_pwait", effect: syscallfault.Effect{Errno: syscall.EINTR}},
	{syscallName: "read", effect: syscallfault.Effect{Errno: syscall.EINTR}}, {syscallName: "read", effect: syscallfault.Effect{Limit: shortTransfer}},
	{syscallName: "write", effect: syscallfault.Effect{Errno: syscall.EINTR}}, {syscallName: "write", effect: syscallfault.Effect{Limit: shortTransfer}},
	{syscallName: anyStateDirCall, effect: syscallfault.Effect{Errno: syscall.ENOSPC}}, {syscallName: anyStateDirCall, effect: syscallfault.Effect{Errno: syscall.EIO}},
	{syscallName: anyStateDirCall, effect: syscallfault.Effect{Limit: 5}},
}

// A process is held up by others on its machine, for maxHoldUp at the most as the protocol page has it, about once a second.
const (
	minHoldUp       = 60 * time.Millisecond
	maxHoldUp       = 150 * time.Millisecond
	minHoldUpPause  = 800 * time.Millisecond
	holdUpPauseSpan = 600 * time.Millisecond
)

// drawHoldUps draws whether and from when the process is held up. It has a random source of its own, so that the other faults of a seed
// stay as they were before there were hold-ups.
func drawHoldUps(rng *rand.Rand, quietPeriod, length time.Duration) []action {
	if rng.Intn(2) == 0 {
		return nil
	}
	return []action{{at: quietPeriod, name: actionHoldUp, duration: length - quietPeriod}}
}

// anyStateDirCall as an action's syscallName stands for all system calls that change the state folder.
const anyStateDirCall = "folder"

// stateDirCalls are the system calls that anyStateDirCall stands for.
var stateDirCalls = []string{"write", "ftruncate", "fsync", "openat", "rename", "renameat", "renameat2", "unlinkat"}

// tracedCalls are all system calls that can fail in a run.
var tracedCalls = append([]string{"accept4", "socket", "connect", "epoll_pwait", "fcntl", "dup", "read"}, stateDirCalls...)

// drawPlan draws the plan of a run of a given length.
func drawPlan(rng *rand.Rand, length time.Duration) plan {
	p := plan{quietPeriod: time.Duration(rng.Int63n(int64(length / 4))), discoveryFaultRate: 0.25 * rng.Float64(), endpointFaultRate: 0.3 * rng.Float64()}
	randomStart := func() time.Duration {
		return p.quietPeriod + time.Duration(rng.Int63n(int64(length-p.quietPeriod)*3/4))
	}
	for range 1 + rng.Intn(3) {
		fault := syscallFaults[rng.Intn(len(syscallFaults))]
		fault.at, fault.duration = randomStart(), time.Duration(100+rng.Intn(1900))*time.Millisecond
		fault.name = strings.TrimSpace(fault.syscallName + " " + fault.effect.String())
		p.actions = append(p.actions, fault)
	}
	p.bodies = []int{0, 1, 20, 200}[rng.Intn(4)]
	for range rng.Intn(3) {
		p.actions = append(p.actions, action{at: randomStart(), name: actionSignals, signals: drawSignals(rng)})
	}
	if rng.Intn(2) == 0 {
		p.actions = append(p.actions, action{at: p.quietPeriod + time.Duration(rng.Int63n(int64(length/4))), name: actionDrain})
	}
	if rng.Intn(4) == 0 {
		p.actions = append(p.actions, action{at: randomStart(), name: actionOpenConnections})
	}
	if rng.Intn(3) == 0 {
		p.actions = append(p.actions, action{at: randomStart(), name: actionHang, duration: time.Duration(500+rng.Intn(3500)) * time.Millisecond})
	}
	switch rng.Intn(3) {
	case 0:
		p.actions = append(p.actions, action{at: randomStart(), name: actionHold, duration: time.Duration(300+rng.Intn(2200)) * time.Millisecond})
	case 1:
		if !p.failsToConnect() {
			p.actions = append(p.actions, action{at: randomStart(), name: actionSilence})
		}
	}
	return p
}

// failsToConnect reports whether connections cannot be opened at some time of the run. Were the open ones silent then, nothing
// could reach discovery.
func (p plan) failsToConnect() bool {
	return slices.ContainsFunc(p.actions, action.failsToConnect)
}

// failsToConnect reports whether connections cannot be opened during the action.
func (a action) failsToConnect() bool {
	return slices.Contains([]string{"socket", "connect", "dup", "fcntl"}, a.syscallName)
}

// isCrowded reports whether the courier has to close connections in the run.
func (p plan) isCrowded() bool {
	return p.has(actionOpenConnections) || p.has(string(floodPartial)) || slices.ContainsFunc(p.actions, action.lowersSockets)
}

// has reports whether the plan has an action with a name.
func (p plan) has(name string) bool {
	return slices.ContainsFunc(p.actions, func(a action) bool { return a.name == name })
}

// strikesEverySecond reports whether a fault leaves every second call alone. A signal interrupts a call once: it is the next
// call that succeeds, while all other faults last.
func (a action) strikesEverySecond() bool { return a.effect.Errno == syscall.EINTR && !a.effect.After }

// matches reports whether an action alters this system call. Calls that change directory entries match for
// any path, since only descriptors are checked against the state folder.
func (a action) matches(call *syscallfault.Call, stateDir string) bool {
	if a.syscallName == "fcntl" && call.Command != unix.F_DUPFD_CLOEXEC {
		return false
	}
	if a.syscallName != anyStateDirCall {
		return call.Name == a.syscallName && (a.syscallName != "read" && a.syscallName != "write" || call.IsSocket())
	}
	switch call.Name {
	case "write", "ftruncate", "fsync":
		return strings.HasPrefix(call.Target(), stateDir) && (a.effect.Limit == 0 || call.Name == "write")
	case "openat":
		return a.effect.Limit == 0 && call.Flags&(os.O_CREATE|os.O_TRUNC) != 0
	case "rename", "renameat", "renameat2", "unlinkat":
		return a.effect.Limit == 0
	}
	return false
}

// drawTreatment draws the fault of a call to discovery.
func drawTreatment(rng *rand.Rand, faultRate float64) faultproxy.FaultSpec {
	faults := []faultproxy.Fault{faultproxy.NoResponse, faultproxy.Reset, faultproxy.Unavailable, faultproxy.Truncated, faultproxy.Stalled, faultproxy.Duplicate,
		faultproxy.Delayed, faultproxy.SlowResponse, faultproxy.EndlessHeader, faultproxy.Corrupted, faultproxy.Corrupted}
	if rng.Float64() >= faultRate {
		return faultproxy.FaultSpec{}
	}
	position, replacement := rng.Float64(), byte(' '+rng.Intn(95))
	corrupt := func(body []byte) []byte { // replaces one byte; truncates instead in or near a "dial" address, which would send calls outside the test
		i := int(position * float64(len(body)))
		if strings.Contains(string(body[max(0, i-40):i]), `"dial"`) || i >= len(body) {
			return body[:i]
		}
		body[i] = replacement
		return body
	}
	return faultproxy.FaultSpec{Fault: faults[rng.Intn(len(faults))], Delay: time.Duration(200+rng.Intn(1500)) * time.Millisecond, Edit: corrupt}
}

// drawNoticeFault draws the fault of a call with notices.
func drawNoticeFault(rng *rand.Rand, faultRate float64) faultproxy.FaultSpec {
	faults := []faultproxy.Fault{faultproxy.NoResponse, faultproxy.Reset, faultproxy.Unavailable, faultproxy.Duplicate, faultproxy.Delayed,
		faultproxy.SlowResponse, faultproxy.EndlessHeader}
	if rng.Float64() >= faultRate {
		return faultproxy.FaultSpec{}
	}
	return faultproxy.FaultSpec{Fault: faults[rng.Intn(len(faults))], Delay: time.Duration(200+rng.Intn(1500)) * time.Millisecond}
}
