// Package soak plays real couriers on loopback among faults of all kinds, drawn by a seed: system calls and the state folder, discovery behind a
// fault proxy, endpoints, clients that come, go and crowd, signals in series, drains. It judges what clients and endpoints saw, and counts each
// fault as struck or not: one that never struck was not tested.
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
)

// act is something that is done to a courier at an instant of a play.
type action struct {
	at          time.Duration
	name        string
	syscallName string // the system call that fails, with effect, for a span
	effect      syscallfault.Effect
	duration    time.Duration
}

// The acts that are no failing system call.
const (
	actionDrain           = "drain"
	actionKill            = "SIGKILL"
	actionTerminate       = "SIGTERM"
	actionReload          = "SIGHUP"
	actionOpenConnections = "crowd"
)

// plan is all that a seed draws.
type plan struct {
	quietPeriod        time.Duration // before the first act
	actions            []action
	discoveryFaultRate float64 // share of polls that come to nothing or are spoilt
	endpointFaultRate  float64 // share of calls that are not delivered
}

// systemFaults are failing system calls after which each request still has its answer.
var syscallFaults = []action{
	{syscallName: "accept4", effect: syscallfault.Effect{Errno: syscall.ECONNABORTED}}, {syscallName: "accept4", effect: syscallfault.Effect{Errno: syscall.ENFILE}},
	{syscallName: "accept4", effect: syscallfault.Effect{Errno: syscall.ENOBUFS}}, {syscallName: "socket", effect: syscallfault.Effect{Errno: syscall.EMFILE}},
	{syscallName: "socket", effect: syscallfault.Effect{Errno: syscall.ENOBUFS}}, {syscallName: "connect", effect: syscallfault.Effect{Errno: syscall.EADDRNOTAVAIL}},
	{syscallName: "connect", effect: syscallfault.Effect{Errno: syscall.ENETUNREACH}}, {syscallName: "connect", effect: syscallfault.Effect{Errno: syscall.ETIMEDOUT}},
	{syscallName: "connect", effect: syscallfault.Effect{Errno: syscall.EINTR, After: true}}, {syscallName: "epoll_pwait", effect: syscallfault.Effect{Errno: syscall.EINTR}},
	{syscallName: "read", effect: syscallfault.Effect{Errno: syscall.EINTR}}, {syscallName: "read", effect: syscallfault.Effect{Limit: 1}},
	{syscallName: "write", effect: syscallfault.Effect{Errno: syscall.EINTR}}, {syscallName: "write", effect: syscallfault.Effect{Limit: 1}},
	{syscallName: stateDirCall, effect: syscallfault.Effect{Errno: syscall.ENOSPC}}, {syscallName: stateDirCall, effect: syscallfault.Effect{Errno: syscall.EIO}},
	{syscallName: stateDirCall, effect: syscallfault.Effect{Limit: 5}},
}

// folderCall stands for every call that changes the state folder.
const stateDirCall = "folder"

// folderCalls are these calls.
var stateDirCalls = []string{"write", "ftruncate", "fsync", "openat", "rename", "renameat", "renameat2", "unlinkat"}

// tracedCalls are all calls that may fail in a play.
var tracedCalls = append([]string{"accept4", "socket", "connect", "epoll_pwait", "read"}, stateDirCalls...)

// draw draws a play of a length.
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
	for range rng.Intn(3) {
		p.actions = append(p.actions, action{at: randomStart(), name: []string{actionKill, actionTerminate, actionReload}[rng.Intn(3)]})
	}
	if rng.Intn(2) == 0 {
		p.actions = append(p.actions, action{at: p.quietPeriod + time.Duration(rng.Int63n(int64(length/4))), name: actionDrain})
	}
	if rng.Intn(4) == 0 {
		p.actions = append(p.actions, action{at: randomStart(), name: actionOpenConnections})
	}
	return p
}

// mayCloseOnRequests reports whether a connection may end as a request comes: the process ends, or has to make room.
func (p plan) mayCloseUnanswered() bool {
	return slices.ContainsFunc(p.actions, func(a action) bool {
		return a.name == actionKill || a.name == actionTerminate || a.name == actionOpenConnections
	})
}

// strikes reports whether a system call is one of those that an act has fail.
func (a action) matches(call *syscallfault.Call, stateDir string) bool {
	if a.syscallName != stateDirCall {
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

// treatment draws what becomes of a call to discovery.
func drawTreatment(rng *rand.Rand, faultRate float64) faultproxy.Treatment {
	faults := []faultproxy.Fault{faultproxy.Silent, faultproxy.Reset, faultproxy.Unavailable, faultproxy.Cut, faultproxy.Stuck, faultproxy.Duplicate,
		faultproxy.Late, faultproxy.Trickle, faultproxy.Endless, faultproxy.Spoilt, faultproxy.Spoilt}
	if rng.Float64() >= faultRate {
		return faultproxy.Treatment{}
	}
	at, by := rng.Float64(), byte(' '+rng.Intn(95))
	corrupt := func(body []byte) []byte { // one byte, but none of an address: who is called then answers for nobody here
		i := int(at * float64(len(body)))
		if strings.Contains(string(body[max(0, i-40):i]), `"dial"`) || i >= len(body) {
			return body[:i]
		}
		body[i] = by
		return body
	}
	return faultproxy.Treatment{Fault: faults[rng.Intn(len(faults))], Delay: time.Duration(200+rng.Intn(1500)) * time.Millisecond, Edit: corrupt}
}
