package syscallfault

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// syscallNumbers are the system calls that can be intercepted.
var syscallNumbers = map[string]uint64{
	"read": unix.SYS_READ, "write": unix.SYS_WRITE, "pwrite64": unix.SYS_PWRITE64, "writev": unix.SYS_WRITEV, "openat": unix.SYS_OPENAT,
	"fsync": unix.SYS_FSYNC, "ftruncate": unix.SYS_FTRUNCATE, "renameat": unix.SYS_RENAMEAT,
	"renameat2": unix.SYS_RENAMEAT2, "unlinkat": unix.SYS_UNLINKAT, "accept4": unix.SYS_ACCEPT4, "socket": unix.SYS_SOCKET,
	"connect": unix.SYS_CONNECT, "epoll_pwait": unix.SYS_EPOLL_PWAIT, "epoll_ctl": unix.SYS_EPOLL_CTL, "fcntl": unix.SYS_FCNTL, "dup": unix.SYS_DUP,
}

// Call is a system call of the child that is about to be made.
type Call struct {
	Name string
	PID  int
	FD   int // first argument, if that is a descriptor
	Size int // third argument, if that is a number of bytes
	// Flags is the third argument of openat.
	Flags int
	// Command is the second argument of fcntl.
	Command int

	effect Effect
}

// Target returns what the descriptor refers to: a path, or a name such as socket:[1234]; empty if unknown.
func (c *Call) Target() string {
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", c.PID, c.FD))
	if err != nil {
		return ""
	}
	return target
}

// IsSocket reports whether the descriptor is a socket.
func (c *Call) IsSocket() bool { return strings.HasPrefix(c.Target(), "socket:") }

// IsFile reports whether the descriptor is a file whose path ends in suffix.
func (c *Call) IsFile(suffix string) bool { return strings.HasSuffix(c.Target(), suffix) }

// Effect is how a call is altered. The zero value leaves it unchanged.
type Effect struct {
	Errno     syscall.Errno // error that the call returns
	After     bool          // with Errno: the call is made before it returns the error
	Limit     int           // maximum number of bytes that the call transfers; 0: no limit
	KillChild bool          // kill the child when the call returns
}

func (e Effect) String() string {
	text := ""
	if e.Errno != 0 {
		text += " " + unix.ErrnoName(e.Errno)
	}
	if e.Limit > 0 {
		text += " short"
	}
	if e.KillChild {
		text += " killed"
	}
	return strings.TrimSpace(text)
}

// Span is an interval of time, in which a test lets calls fail. The zero value includes no time.
type Span struct {
	from time.Time
	to   time.Time
}

// NewSpan returns a span from now that lasts for a length of time.
func NewSpan(length time.Duration) Span {
	now := time.Now()
	return Span{now, now.Add(length)}
}

// Includes reports whether the current time is within the span.
func (s Span) Includes() bool {
	now := time.Now()
	return !now.Before(s.from) && now.Before(s.to)
}
