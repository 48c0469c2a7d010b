// Package process starts, signals, kills and restarts real courier processes for scenarios on sockets.
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

// Courier is one courier across all starts of its process.
type Courier struct {
	Number  int
	Listen  string
	Dir     string
	binary  string
	onCrash func(no int, why string)

	mu         sync.Mutex
	cmd        *exec.Cmd
	expectedUp bool // started, and since then neither asked to shut down nor killed
	exited     chan struct{}
	userTime   time.Duration
	systemTime time.Duration
	maxRSS     int64 // KiB
	starts     int
}

// New prepares a courier: it creates a directory for its state and log, and chooses an address to listen on. When the process exits
// unexpectedly, onCrash is called with the reason.
func New(no int, binary, dir string, onCrash func(no int, why string)) (*Courier, error) {
	dir = filepath.Join(dir, "courier-"+strconv.Itoa(no))
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o755); err != nil {
		return nil, err
	}
	// Couriers have separate loopback addresses, derived from the process id and the courier's number, which repeat after 250 couriers. On the
	// usual address, a port that is free now can belong to an outgoing connection by the time the courier starts.
	host := fmt.Sprintf("127.%d.%d.%d", 64+(os.Getpid()>>8)%128, os.Getpid()%256, 1+no%250)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	defer l.Close()
	return &Courier{Number: no, Listen: l.Addr().String(), Dir: dir, binary: binary, onCrash: onCrash}, nil
}

// Configure writes the courier's configuration file.
func (c *Courier) Configure(configuration map[string]any) error {
	text, err := json.MarshalIndent(configuration, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Dir, "config.json"), text, 0o644)
}

// Start starts the process unless it is running, and returns when it answers PING, or with an error after timeout.
func (c *Courier) Start(timeout time.Duration) error {
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
	c.cmd, c.exited, c.expectedUp = cmd, exited, true
	c.starts++
	c.mu.Unlock()
	go c.wait(cmd, log, exited)
	return c.waitReady(timeout, exited)
}

// wait waits for the process to exit and adds up its CPU time. It reports an unexpected exit.
func (c *Courier) wait(cmd *exec.Cmd, log *os.File, exited chan struct{}) {
	err := cmd.Wait()
	log.Close()
	c.mu.Lock()
	c.userTime += cmd.ProcessState.UserTime()
	c.systemTime += cmd.ProcessState.SystemTime()
	unexpected := c.expectedUp && c.cmd == cmd
	if c.cmd == cmd {
		c.cmd = nil
	}
	c.mu.Unlock()
	close(exited)
	if unexpected {
		c.onCrash(c.Number, fmt.Sprintf("process exited unexpectedly: %v; end of its log: %s", err, c.logTail()))
	}
}

// logTail returns the last 400 bytes of the log on one line.
func (c *Courier) logTail() string {
	text, err := os.ReadFile(filepath.Join(c.Dir, "log"))
	if err != nil {
		return err.Error()
	}
	if len(text) > 400 {
		text = text[len(text)-400:]
	}
	return strings.Join(strings.Fields(string(text)), " ")
}

func (c *Courier) waitReady(timeout time.Duration, exited <-chan struct{}) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		select {
		case <-exited:
			return fmt.Errorf("courier %d exited before it was ready; end of its log: %s", c.Number, c.logTail())
		case <-time.After(10 * time.Millisecond):
		}
		if ping(c.Listen) {
			return nil
		}
	}
	return fmt.Errorf("courier %d did not answer PING within %v; end of its log: %s", c.Number, timeout, c.logTail())
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

// Signal sends a signal to the process if it is running. After SIGTERM or SIGKILL, the exit of the process is expected.
func (c *Courier) Signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		c.expectedUp = false
	}
	if c.cmd != nil {
		if s == syscall.SIGTERM || s == syscall.SIGKILL {
			c.maxRSS = max(c.maxRSS, peakRSS(c.cmd.Process.Pid))
		}
		c.cmd.Process.Signal(s)
	}
}

// peakRSS returns the peak resident memory of a process in KiB, or 0 if it is unknown. The rusage of an exited child is not usable: it includes
// the memory of the testbed, of which the child is a copy between fork and exec.
func peakRSS(pid int) (kib int64) {
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

// Kill sends SIGKILL to the process and waits until it has exited.
func (c *Courier) Kill() {
	c.Signal(syscall.SIGKILL)
	c.mu.Lock()
	exited, running := c.exited, c.cmd != nil
	c.mu.Unlock()
	if running {
		<-exited
	}
}

// Up reports whether the process is running and has not been asked to exit.
func (c *Courier) Up() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cmd != nil && c.expectedUp
}

// Running reports whether the process is running, even if it has been asked to exit.
func (c *Courier) Running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cmd != nil
}

// clockTick is the unit of CPU time in /proc/PID/stat, for a kernel with USER_HZ = 100.
const clockTick = 10 * time.Millisecond

// CurrentUsage returns the CPU time and the resident memory, in bytes, of the running process, read from /proc.
func (c *Courier) CurrentUsage() (cpu time.Duration, resident int64, err error) {
	c.mu.Lock()
	cmd := c.cmd
	c.mu.Unlock()
	if cmd == nil {
		return 0, 0, fmt.Errorf("courier %d is not running", c.Number)
	}
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(cmd.Process.Pid), "stat"))
	if err != nil {
		return 0, 0, err
	}
	return parseStat(string(text))
}

// parseStat parses utime, stime and rss, which are fields 14, 15 and 24 of /proc/PID/stat. Field 2, the process name, may contain spaces and
// parentheses; it ends at the last closing parenthesis.
func parseStat(text string) (cpu time.Duration, resident int64, err error) {
	const userTime, systemTime, residentPages = 14 - 3, 15 - 3, 24 - 3
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= residentPages {
		return 0, 0, fmt.Errorf("/proc/PID/stat %q: too few fields", text)
	}
	var values [3]int64
	for i, at := range []int{userTime, systemTime, residentPages} {
		if values[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return 0, 0, err
		}
	}
	return time.Duration(values[0]+values[1]) * clockTick, values[2] * int64(os.Getpagesize()), nil
}

// TotalUsage returns the total CPU time of all processes of the courier that have exited, and the peak resident memory of those that were sent
// SIGTERM or SIGKILL.
func (c *Courier) TotalUsage() (cpu time.Duration, maxRSSKiB int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.userTime + c.systemTime, c.maxRSS
}
