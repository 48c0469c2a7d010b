package syscallfault

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// numbers are the calls that can be led here.
var numbers = map[string]uint64{
	"read": unix.SYS_READ, "write": unix.SYS_WRITE, "pwrite64": unix.SYS_PWRITE64, "writev": unix.SYS_WRITEV, "openat": unix.SYS_OPENAT,
	"fsync": unix.SYS_FSYNC, "ftruncate": unix.SYS_FTRUNCATE, "rename": unix.SYS_RENAME, "renameat": unix.SYS_RENAMEAT,
	"renameat2": unix.SYS_RENAMEAT2, "unlinkat": unix.SYS_UNLINKAT, "accept4": unix.SYS_ACCEPT4, "socket": unix.SYS_SOCKET,
	"connect": unix.SYS_CONNECT, "epoll_pwait": unix.SYS_EPOLL_PWAIT, "epoll_ctl": unix.SYS_EPOLL_CTL,
}

// Call is one system call of the child, before it is made.
type Call struct {
	Name string
	PID  int
	FD   int // its first argument, where that is a descriptor
	Size int // its third argument, where that is a number of bytes
	// Flags is its third argument too, of openat.
	Flags int

	effect Effect
}

// Target returns what the descriptor leads to: a path, or a name such as socket:[1234]; empty where that is not known.
func (c *Call) Target() string {
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", c.PID, c.FD))
	if err != nil {
		return ""
	}
	return target
}

// IsSocket reports whether the descriptor is a socket.
func (c *Call) IsSocket() bool { return strings.HasPrefix(c.Target(), "socket:") }

// IsFile reports whether the descriptor is a file whose path ends so.
func (c *Call) IsFile(suffix string) bool { return strings.HasSuffix(c.Target(), suffix) }

// Effect is what becomes of a call; the zero value lets it be.
type Effect struct {
	Errno     syscall.Errno // it fails so
	After     bool          // with Errno: only after it was made
	Limit     int           // it takes so many bytes at most; 0 for all
	KillChild bool          // the child is killed as it returns
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

// Span is a span of time in which calls fail, from its first use on; the zero value does not begin.
type Span struct {
	from time.Time
	to   time.Time
}

// NewSpan returns a span that lasts so long from now.
func NewSpan(length time.Duration) Span {
	now := time.Now()
	return Span{now, now.Add(length)}
}

// Includes reports whether now is within the span.
func (s Span) Includes() bool {
	now := time.Now()
	return !now.Before(s.from) && now.Before(s.to)
}
