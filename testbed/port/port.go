// Package port reserves addresses on loopback for processes that are yet to start, and looks at what lies between two sockets there.
package port

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Reserve takes a port of 127.0.0.1 that is free, and keeps it until let go. It stays bound without listening: whoever is notified of it
// may listen there, any number of times, and the kernel hands it to nobody else. Failure: a port that was closed to be listened on a
// moment later was by then another test's endpoint or somebody's outgoing connection.
func Reserve() (addr string, letGo func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("port: %w", err)
	}
	letGo = func() { syscall.Close(fd) }
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at syscall.Sockaddr
	if err == nil {
		at, err = syscall.Getsockname(fd)
	}
	if err != nil {
		letGo()
		return "", nil, fmt.Errorf("port: %w", err)
	}
	in := at.(*syscall.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String(), letGo, nil
}

// WaitAcknowledged waits until the other side's system has all that was written to a connection, and its end where it was ended for writing, and
// tells whether that came to pass within a bound: from then on it lies there, read or not.
func WaitAcknowledged(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Microsecond) {
		there := false
		if err := raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			there = err == nil && info.Unacked == 0 && info.Notsent_bytes == 0 && info.State != unix.BPF_TCP_FIN_WAIT1
		}); err != nil {
			return false
		}
		if there {
			return true
		}
	}
	return false
}
