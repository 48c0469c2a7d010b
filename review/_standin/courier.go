package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// platform starts the processes of one courier and holds its listening socket, as on days with upgrades.
type platform struct {
	record  *record
	root    string
	run     string
	dir     string
	listen  string
	socket  *os.File
	dial    string // discovery
	started int

	mu        sync.Mutex
	processes []*process
}

type process struct {
	name   string
	cmd    *exec.Cmd
	ops    string
	exited chan struct{}
	platf  *platform
}

// newPlatform reads the command of the deploy file and opens the listening socket.
func newPlatform(r *record, root, dir, address, dial string) (*platform, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return nil, fmt.Errorf("no run in the deploy file")
	}
	if _, err := os.Stat(filepath.Join(root, "bin/pineport")); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	p := &platform{record: r, root: root, run: string(match[1]), dir: dir, listen: l.Addr().String(), socket: socket, dial: dial}
	return p, os.MkdirAll(filepath.Join(dir, "state"), 0o700)
}

// configure writes the configuration file.
func (p *platform) configure(known hostList, settings map[string]any) error {
	text, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": p.listen, "discovery": p.dial, "seed": "5b1e77c2a9034d18",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":    known,
		"settings": settings}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "config.json"), text, 0o600)
}

// start starts one process by the command of the deploy file.
func (p *platform) start(name, opsAddress string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", p.run)
	cmd.Dir, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = p.root, log, log, []*os.File{p.socket}
	cmd.Env = append(os.Environ(), "TMPDIR="+p.dir, "RELAY_NAME=n0", "RELAY_LISTEN="+p.listen, "RELAY_DISCOVERY="+p.dial, "RELAY_STATE="+filepath.Join(p.dir, "state"),
		"RELAY_CONFIG="+filepath.Join(p.dir, "config.json"), "RELAY_OPS="+opsAddress, "RELAY_SOCKET_FD=3")
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{name: name, cmd: cmd, ops: opsAddress, exited: make(chan struct{}), platf: p}
	p.record.add("platform: %s started", name)
	go func() {
		err := cmd.Wait()
		p.record.add("platform: %s ended: %v", name, err)
		close(started.exited)
	}()
	p.mu.Lock()
	p.processes = append(p.processes, started)
	p.mu.Unlock()
	return started, nil
}

// ready waits until the second address says yes.
func (c *process) ready(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		select {
		case <-c.exited:
			return false
		default:
		}
		if status, _ := c.call("GET", "/status"); status == 200 {
			c.platf.record.add("platform: %s says yes", c.name)
			return true
		}
	}
	return false
}

// call makes one call to the second address.
func (c *process) call(method, path string) (int, error) {
	request, err := http.NewRequest(method, "http://"+c.ops+path, nil)
	if err != nil {
		return 0, err
	}
	request.Close = true
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

func (c *process) signal(sig syscall.Signal) {
	c.platf.record.add("platform: %s to %s", sig, c.name)
	c.cmd.Process.Signal(sig)
}

// stop ends all processes.
func (p *platform) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.processes {
		c.cmd.Process.Signal(syscall.SIGCONT)
		c.cmd.Process.Kill()
		<-c.exited
	}
	p.socket.Close()
}

// freeAddress returns a free loopback address on a host of this run's own.
func freeAddress(number int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 40+(os.Getpid()>>8)%80, os.Getpid()%256, 1+number))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
