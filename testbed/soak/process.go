package soak

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"pineport/testbed/syscallfault"
)

// start starts the courier, and waits until it answers PING.
func (r *run) start() error {
	child, err := r.launch()
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.child, r.processStartedAt, r.stopRequested = child, time.Now(), false
	r.mu.Unlock()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if hasExited(child) && !r.isStopRequested() {
			r.reportBreach("the courier exited before it answered PING: %v", child.Status())
			return nil
		}
		if respondsToPing(r.address) {
			return nil
		}
	}
	r.reportBreach("the courier did not answer PING within %v of its start", readyTimeout)
	return nil
}

func (r *run) isStopRequested() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopRequested
}

// launch starts a process of the courier.
func (r *run) launch() (*syscallfault.Process, error) {
	stateDir := filepath.Join(r.dir, "state")
	env := append(os.Environ(), "RELAY_CONFIG="+filepath.Join(r.dir, "config.json"), "RELAY_STATE="+stateDir)
	var files []*os.File
	if r.socket != nil {
		env, files = append(env, "RELAY_SOCKET_FD=3"), []*os.File{r.socket}
	}
	return syscallfault.StartWithFiles(r.options.Binary, env, files, r.log, tracedCalls, func(call *syscallfault.Call) syscallfault.Effect { return r.effectFor(call, stateDir) })
}

func respondsToPing(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	reply := make([]byte, len("+PONG\r\n"))
	_, err = io.ReadFull(conn, reply)
	return err == nil && string(reply) == "+PONG\r\n"
}

func (r *run) effectFor(call *syscallfault.Call, stateDir string) syscallfault.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.activeFaults {
		if !a.matches(call, stateDir) {
			continue
		}
		if r.matchCounts[a.name]++; a.strikesEverySecond() && r.matchCounts[a.name]%2 == 0 {
			continue
		}
		r.faultCounts[a.name]++
		return a.effect
	}
	return syscallfault.Effect{}
}

// watchProcess reports a breach if the process exits without having been stopped.
func (r *run) watchProcess(ctx context.Context) {
	for wait(ctx, 50*time.Millisecond) {
		r.mu.Lock()
		child, stopRequested := r.child, r.stopRequested
		r.mu.Unlock()
		select {
		case <-child.Done:
			if !stopRequested {
				r.reportBreach("the courier exited unexpectedly: %v", child.Status())
				return
			}
		default:
		}
	}
}
