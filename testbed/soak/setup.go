package soak

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"pineport/testbed/faultproxy"
	"pineport/testbed/port"
	"pineport/testbed/scripted"
)

// setUp starts the endpoints, discovery and the fault proxy, and writes the courier's configuration.
func (r *run) setUp(seed int64) error {
	if err := os.MkdirAll(filepath.Join(r.dir, "state"), 0o755); err != nil {
		return err
	}
	rng, lock := rand.New(rand.NewSource(seed)), sync.Mutex{}
	standIns, err := scripted.Open(endpoints, func(string) scripted.Response {
		if r.hanging.Load() && rng.Intn(2) == 0 {
			r.count(actionHang)
			return scripted.Response{Delay: hangTime}
		}
		return drawResponse(rng, r.plan.endpointFaultRate, r.plan.bodies)
	})
	if err != nil {
		return err
	}
	r.standIns = standIns
	pollRand := rand.New(rand.NewSource(seed + 1))
	var noticeFaultAt time.Time
	r.proxy, err = faultproxy.Open(standIns.Discovery, func(call faultproxy.Call) faultproxy.FaultSpec {
		lock.Lock()
		defer lock.Unlock()
		switch {
		case time.Since(r.startedAt) < r.plan.quietPeriod:
			return faultproxy.FaultSpec{}
		case call.IsPoll() && r.refusingPolls.Load():
			return faultproxy.FaultSpec{Fault: faultproxy.Unavailable}
		case call.IsPoll():
			return drawTreatment(pollRand, r.plan.discoveryFaultRate)
		case call.Read.Sub(noticeFaultAt) < noticeFaultInterval || r.cannotConnect():
			return faultproxy.FaultSpec{}
		}
		treatment := drawNoticeFault(pollRand, r.plan.discoveryFaultRate)
		if treatment.Fault != faultproxy.None {
			noticeFaultAt = call.Read
		}
		return treatment
	})
	if err != nil {
		return err
	}
	standIns.Discovery = r.proxy.Address
	if r.address, r.releaseAddress, err = port.Reserve(); err != nil {
		return err
	}
	if r.plan.has(actionUpgrade) || r.plan.has(actionCrashedUpgrade) {
		if r.socket, err = listeningSocket(r.address); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(r.dir, "config.json"), standIns.CourierConfiguration(fmt.Sprintf("soak-%d", r.options.Seed), r.address), 0o644); err != nil {
		return err
	}
	r.log, err = os.Create(filepath.Join(r.dir, "log"))
	return err
}

// listeningSocket returns a listening socket that processes can inherit.
func listeningSocket(address string) (*os.File, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	return listener.(*net.TCPListener).File()
}

// cannotConnect reports whether new connections to discovery fail or are silent. A fault of a call with notices would then take one of
// the few that are open.
func (r *run) cannotConnect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holding || slices.ContainsFunc(r.activeFaults, action.failsToConnect)
}

// drawResponse draws how an endpoint treats a call.
func drawResponse(rng *rand.Rand, faultRate float64, bodies int) scripted.Response {
	work := time.Duration(5+rng.Intn(60)) * time.Millisecond
	if rng.Float64() >= faultRate {
		response := scripted.Response{Status: 200, Delay: work}
		if bodies > 0 {
			response.Body = fmt.Sprintf("body %d", rng.Intn(bodies))
		}
		return response
	}
	responses := []scripted.Response{{Status: 503}, {Status: 429, BackoffMs: 100 + rng.Intn(700)}, {Status: 500, Delay: work}, {Status: 0, Delay: work}, {Status: 200, Delay: 1500 * time.Millisecond}}
	return responses[rng.Intn(len(responses))]
}

func (r *run) close() {
	r.mu.Lock()
	child := r.child
	r.stopRequested = true
	r.mu.Unlock()
	if child != nil {
		child.Signal(syscall.SIGKILL)
		<-child.Done
	}
	r.proxy.Close()
	r.standIns.Close()
	r.log.Close()
	if r.socket != nil {
		r.socket.Close()
	}
	r.releaseAddress()
}
