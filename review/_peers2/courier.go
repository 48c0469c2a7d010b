package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// object is a JSON object of a configuration.
type object = map[string]any

// class returns the settings of a class of messages.
func class(name, idempotency string, slo, deadline, points float64) object {
	return object{"name": name, "idempotency": idempotency, "slo-s": slo, "deadline-s": deadline, "points": points, "late-worth": 0.5, "group": "all",
		"dedup-window-s": 5.0, "streaming": false}
}

// settings returns settings like those of a small deployment, with changes by top-level key.
func settings(classes []object, changes object) object {
	all := object{
		"callers":  object{"marks-retry": true},
		"ceilings": object{"conn-idle-s": 5.0, "connect-timeout-s": 1.0, "max-retry-after-s": 2.0, "may-cancel": true, "may-duplicate": true, "may-probe": false, "multiplex": 8, "open-cap": 93, "peers": false, "retry-after": true, "try-limit": 8},
		"classes":  classes, "discovery": "subscribe", "family": "deliver",
		"family-info": object{"decay": "halves", "per-call": []int{1}, "separate-routes": []bool{false}, "slots": 15, "route-fee": []float64{0, 0}},
		"fleet-size":  1, "ordinal": 0, "locality": 0, "over-share-worth": 0.1, "shapes": []string{"partner"}, "zones": []string{"building-a", "building-b"},
		"rules":     object{"answer-slack-s": 0.02, "ask-within-s": 10.0, "cold-from": 0.13, "drain-grace-s": 0.5, "fall-multiple": 2.5, "ramp-time-s": 12.0, "tip-after-s": 2.0},
		"telemetry": object{"fields": []string{}, "source": "silent"}, "tenants": []object{}, "tick-s": 0.005, "tier": 0, "tiers": []string{"partner-systems"}, "value-by": "request", "weight-kind": "silent",
		"prices": object{"cross-zone": 0.0},
	}
	for key, value := range changes {
		if part, ok := value.(object); ok {
			whole := all[key].(object)
			for name, v := range part {
				whole[name] = v
			}
			continue
		}
		all[key] = value
	}
	return all
}

// courier is a courier and its folder that lasts.
type courier struct {
	name     string
	record   *record
	dir      string
	listen   string
	listener *net.TCPListener // the platform's listening socket, which processes inherit; nil: the courier listens
	platform *platform
	settings object
	known    json.RawMessage // the list that the configuration holds; nil: as the platform has it
}

func newCourier(r *record, p *platform, s object, inherited bool) *courier {
	dir, err := os.MkdirTemp("", "pineport-review-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	cleanups = append(cleanups, func() { os.RemoveAll(dir) })
	c := &courier{name: "n0", record: r, dir: dir, platform: p, settings: s}
	l := mustListen(ownHost() + ":0")
	c.listen = l.Addr().String()
	if inherited {
		c.listener = l.(*net.TCPListener)
	} else {
		l.Close()
	}
	os.Mkdir(filepath.Join(dir, "state"), 0o700)
	os.Mkdir(filepath.Join(dir, "tmp"), 0o700)
	return c
}

// ownHost returns a loopback address that nobody else is likely to use, so that a port that was free stays free until the courier listens on it.
func ownHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.Intn(250), rand.Intn(250), 1+rand.Intn(250))
}

// configure writes the configuration.
func (c *courier) configure() {
	known := c.known
	if known == nil {
		known = c.platform.known()
	}
	config := object{"name": c.name, "listen": c.listen, "discovery": c.platform.address, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "known": known, "settings": c.settings}
	text, _ := json.MarshalIndent(config, "", " ")
	if err := os.WriteFile(filepath.Join(c.dir, "config.json"), text, 0o600); err != nil {
		cannotRun("configuration: %v", err)
	}
}

// process is a running process of a courier.
type process struct {
	name   string
	record *record
	cmd    *exec.Cmd
	ops    string
	done   chan struct{}
}

// start runs the command of the deploy file.
func (c *courier) start(name string) *process {
	l := mustListen(ownHost() + ":0")
	ops := l.Addr().String()
	l.Close()
	cmd := exec.Command("/bin/sh", "-c", "exec bin/pineport")
	cmd.Dir = rootDir
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "RELAY_NAME=" + c.name, "RELAY_LISTEN=" + c.listen, "RELAY_DISCOVERY=" + c.platform.address, "RELAY_OPS=" + ops,
		"RELAY_STATE=" + filepath.Join(c.dir, "state"), "RELAY_CONFIG=" + filepath.Join(c.dir, "config.json"), "TMPDIR=" + filepath.Join(c.dir, "tmp")}
	if c.listener != nil {
		file, err := c.listener.File()
		if err != nil {
			cannotRun("listening socket: %v", err)
		}
		defer file.Close()
		cmd.ExtraFiles = []*os.File{file}
		cmd.Env = append(cmd.Env, "RELAY_SOCKET_FD=3")
	}
	log := &lineWriter{record: c.record, prefix: name + ": "}
	cmd.Stderr, cmd.Stdout = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	p := &process{name: name, record: c.record, cmd: cmd, ops: ops, done: make(chan struct{})}
	c.record.line("started %s", name)
	go func() {
		err := cmd.Wait()
		c.record.line("%s has ended: %v", name, err)
		close(p.done)
	}()
	cleanups = append(cleanups, p.kill)
	return p
}

// ready waits until a process says that it takes clients.
func (p *process) ready(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + p.ops + "/status"); err == nil {
			response.Body.Close()
			if response.StatusCode == 200 {
				p.record.line("%s takes clients", p.name)
				return true
			}
		}
	}
	return false
}

func (p *process) signal(s syscall.Signal) {
	p.record.line("signal to %s: %v", p.name, s)
	p.cmd.Process.Signal(s)
}

// kill ends a process outright and waits for its end.
func (p *process) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}
