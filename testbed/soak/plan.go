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
type act struct {
	at     time.Duration
	what   string
	call   string // the system call that fails, with effect, for a span
	effect syscallfault.Effect
	span   time.Duration
}

// The acts that are no failing system call.
const (
	actDrain  = "drain"
	actKill   = "SIGKILL"
	actEnd    = "SIGTERM"
	actHangup = "SIGHUP"
	actCrowd  = "crowd"
)

// plan is all that a seed draws.
type plan struct {
	quiet        time.Duration // before the first act
	acts         []act
	discoveryBad float64 // share of polls that come to nothing or are spoilt
	endpointsBad float64 // share of calls that are not delivered
}

// systemFaults are failing system calls after which each request still has its answer.
var systemFaults = []act{
	{call: "accept4", effect: syscallfault.Effect{Errno: syscall.ECONNABORTED}}, {call: "accept4", effect: syscallfault.Effect{Errno: syscall.ENFILE}},
	{call: "accept4", effect: syscallfault.Effect{Errno: syscall.ENOBUFS}}, {call: "socket", effect: syscallfault.Effect{Errno: syscall.EMFILE}},
	{call: "socket", effect: syscallfault.Effect{Errno: syscall.ENOBUFS}}, {call: "connect", effect: syscallfault.Effect{Errno: syscall.EADDRNOTAVAIL}},
	{call: "connect", effect: syscallfault.Effect{Errno: syscall.ENETUNREACH}}, {call: "connect", effect: syscallfault.Effect{Errno: syscall.ETIMEDOUT}},
	{call: "connect", effect: syscallfault.Effect{Errno: syscall.EINTR, After: true}}, {call: "epoll_pwait", effect: syscallfault.Effect{Errno: syscall.EINTR}},
	{call: "read", effect: syscallfault.Effect{Errno: syscall.EINTR}}, {call: "read", effect: syscallfault.Effect{Limit: 1}},
	{call: "write", effect: syscallfault.Effect{Errno: syscall.EINTR}}, {call: "write", effect: syscallfault.Effect{Limit: 1}},
	{call: folderCall, effect: syscallfault.Effect{Errno: syscall.ENOSPC}}, {call: folderCall, effect: syscallfault.Effect{Errno: syscall.EIO}},
	{call: folderCall, effect: syscallfault.Effect{Limit: 5}},
}

// folderCall stands for every call that changes the state folder.
const folderCall = "folder"

// folderCalls are these calls.
var folderCalls = []string{"write", "ftruncate", "fsync", "openat", "rename", "renameat", "renameat2", "unlinkat"}

// tracedCalls are all calls that may fail in a play.
var tracedCalls = append([]string{"accept4", "socket", "connect", "epoll_pwait", "read"}, folderCalls...)

// draw draws a play of a length.
func draw(rng *rand.Rand, length time.Duration) plan {
	p := plan{quiet: time.Duration(rng.Int63n(int64(length / 4))), discoveryBad: 0.25 * rng.Float64(), endpointsBad: 0.3 * rng.Float64()}
	moment := func() time.Duration { return p.quiet + time.Duration(rng.Int63n(int64(length-p.quiet)*3/4)) }
	for range 1 + rng.Intn(3) {
		fault := systemFaults[rng.Intn(len(systemFaults))]
		fault.at, fault.span = moment(), time.Duration(100+rng.Intn(1900))*time.Millisecond
		fault.what = strings.TrimSpace(fault.call + " " + fault.effect.String())
		p.acts = append(p.acts, fault)
	}
	for range rng.Intn(3) {
		p.acts = append(p.acts, act{at: moment(), what: []string{actKill, actEnd, actHangup}[rng.Intn(3)]})
	}
	if rng.Intn(2) == 0 {
		p.acts = append(p.acts, act{at: p.quiet + time.Duration(rng.Int63n(int64(length/4))), what: actDrain})
	}
	if rng.Intn(4) == 0 {
		p.acts = append(p.acts, act{at: moment(), what: actCrowd})
	}
	return p
}

// mayCloseOnRequests reports whether a connection may end as a request comes: the process ends, or has to make room.
func (p plan) mayCloseOnRequests() bool {
	return slices.ContainsFunc(p.acts, func(a act) bool { return a.what == actKill || a.what == actEnd || a.what == actCrowd })
}

// strikes reports whether a system call is one of those that an act has fail.
func (a act) strikes(call *syscallfault.Call, stateDir string) bool {
	if a.call != folderCall {
		return call.Name == a.call && (a.call != "read" && a.call != "write" || call.IsSocket())
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
func treatment(rng *rand.Rand, bad float64) faultproxy.FaultSpec {
	faults := []faultproxy.Fault{faultproxy.NoResponse, faultproxy.Reset, faultproxy.Unavailable, faultproxy.Truncated, faultproxy.Stalled, faultproxy.Duplicate,
		faultproxy.Delayed, faultproxy.SlowResponse, faultproxy.EndlessHeader, faultproxy.Corrupted, faultproxy.Corrupted}
	if rng.Float64() >= bad {
		return faultproxy.FaultSpec{}
	}
	at, by := rng.Float64(), byte(' '+rng.Intn(95))
	spoil := func(body []byte) []byte { // one byte, but none of an address: who is called then answers for nobody here
		i := int(at * float64(len(body)))
		if strings.Contains(string(body[max(0, i-40):i]), `"dial"`) || i >= len(body) {
			return body[:i]
		}
		body[i] = by
		return body
	}
	return faultproxy.FaultSpec{Fault: faults[rng.Intn(len(faults))], Delay: time.Duration(200+rng.Intn(1500)) * time.Millisecond, Edit: spoil}
}
