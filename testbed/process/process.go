// Package process starts, kills, stops and restarts real courier processes for a day on sockets.
package process

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Courier is one courier, through all its starts.
type Courier struct {
	Number  int
	Listen  string
	Dir     string
	binary  string
	crashed func(no int, why string)

	mu      sync.Mutex
	cmd     *exec.Cmd
	wanted  bool // its end is not asked for
	exited  chan struct{}
	user    time.Duration
	system  time.Duration
	maxRSS  int64 // KiB
	started int
}

// New prepares a courier: a folder of its own with state and log, and an address to listen on.
func New(no int, binary, dir string, crashed func(no int, why string)) (*Courier, error) {
	dir = filepath.Join(dir, "courier-"+strconv.Itoa(no))
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o755); err != nil {
		return nil, err
	}
	// An address of its own, by process and courier: on a shared one, the port that is free now may be somebody's
	// outgoing connection by the time the courier starts.
	host := fmt.Sprintf("127.%d.%d.%d", 64+(os.Getpid()>>8)%128, os.Getpid()%256, 1+no%250)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	defer l.Close()
	return &Courier{Number: no, Listen: l.Addr().String(), Dir: dir, binary: binary, crashed: crashed}, nil
}

// Configure writes what the courier is notified.
func (c *Courier) Configure(what map[string]any) error {
	text, err := json.MarshalIndent(what, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Dir, "config.json"), text, 0o644)
}

// Start starts the process, and returns once it answers PING.
func (c *Courier) Start(within time.Duration) error {
	c.mu.Lock()
	if c.cmd != nil {
		c.mu.Unlock()
		return nil
	}
	log, err := os.OpenFile(filepath.Join(c.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.mu.Unlock()
		return err
	}
	cmd := exec.Command(c.binary)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(c.Dir, "config.json"), "RELAY_STATE="+filepath.Join(c.Dir, "state"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.mu.Unlock()
		log.Close()
		return fmt.Errorf("courier %d: %w", c.Number, err)
	}
	exited := make(chan struct{})
	c.cmd, c.exited, c.wanted = cmd, exited, true
	c.started++
	c.mu.Unlock()
	go c.wait(cmd, log, exited)
	return c.ready(within, exited)
}

// wait reaps the process and counts what it took.
func (c *Courier) wait(cmd *exec.Cmd, log *os.File, exited chan struct{}) {
	err := cmd.Wait()
	log.Close()
	c.mu.Lock()
	c.user += cmd.ProcessState.UserTime()
	c.system += cmd.ProcessState.SystemTime()
	unasked := c.wanted && c.cmd == cmd
	if c.cmd == cmd {
		c.cmd = nil
	}
	c.mu.Unlock()
	close(exited)
	if unasked {
		c.crashed(c.Number, fmt.Sprintf("its process ended by itself: %v; the last of its log: %s", err, c.tail()))
	}
}

// tail is the end of its log, on one line.
func (c *Courier) tail() string {
	text, err := os.ReadFile(filepath.Join(c.Dir, "log"))
	if err != nil {
		return err.Error()
	}
	if len(text) > 400 {
		text = text[len(text)-400:]
	}
	return strings.Join(strings.Fields(string(text)), " ")
}

func (c *Courier) ready(within time.Duration, exited <-chan struct{}) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); {
		select {
		case <-exited:
			return fmt.Errorf("courier %d ended before it was ready; the last of its log: %s", c.Number, c.tail())
		case <-time.After(10 * time.Millisecond):
		}
		if ping(c.Listen) {
			return nil
		}
	}
	return fmt.Errorf("courier %d did not answer PING within %v; the last of its log: %s", c.Number, within, c.tail())
}

func ping(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// Signal sends a signal to the process, if it runs. One that asks for its end makes that end wanted.
func (c *Courier) Signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		c.wanted = false
	}
	if c.cmd != nil {
		if s == syscall.SIGTERM || s == syscall.SIGKILL {
			c.maxRSS = max(c.maxRSS, peak(c.cmd.Process.Pid))
		}
		c.cmd.Process.Signal(s)
	}
}

// peak is the most that a process had resident, in KiB. What the system counts for a child that has ended takes in the
// testbed's own memory, of which it was a copy for a moment.
func peak(pid int) (kib int64) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ = strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		}
	}
	return kib
}

// Kill ends the process outright and waits for its end.
func (c *Courier) Kill() {
	c.Signal(syscall.SIGKILL)
	c.mu.Lock()
	exited, running := c.exited, c.cmd != nil
	c.mu.Unlock()
	if running {
		<-exited
	}
}

// Up tells whether the process runs and is wanted to.
func (c *Courier) Up() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cmd != nil && c.wanted
}

// Running tells whether the process runs, wanted or not.
func (c *Courier) Running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cmd != nil
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// CurrentUsage is what the process that runs has taken so far on the processor, and what it has resident, in bytes, read of /proc.
func (c *Courier) CurrentUsage() (cpu time.Duration, resident int64, err error) {
	c.mu.Lock()
	cmd := c.cmd
	c.mu.Unlock()
	if cmd == nil {
		return 0, 0, fmt.Errorf("courier %d does not run", c.Number)
	}
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(cmd.Process.Pid), "stat"))
	if err != nil {
		return 0, 0, err
	}
	return parseStat(string(text))
}

// parseStat reads utime, stime and rss of the text of /proc/PID/stat: the 14th, 15th and 24th field, of which the second, the
// name, ends at the last parenthesis.
func parseStat(text string) (cpu time.Duration, resident int64, err error) {
	const userTime, systemTime, residentPages = 14 - 3, 15 - 3, 24 - 3
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= residentPages {
		return 0, 0, fmt.Errorf("%q: more fields were expected", text)
	}
	var values [3]int64
	for i, at := range []int{userTime, systemTime, residentPages} {
		if values[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return 0, 0, err
		}
	}
	return time.Duration(values[0]+values[1]) * clockTick, values[2] * int64(os.Getpagesize()), nil
}

// TotalUsage is what all its processes took: time on the processor, and resident memory at most.
func (c *Courier) TotalUsage() (cpu time.Duration, maxRSSKiB int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.user + c.system, c.maxRSS
}
