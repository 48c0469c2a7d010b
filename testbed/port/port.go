// Package port reserves loopback ports for processes that have not started yet, and tells how far the peer of a TCP connection has received
// data.
package port

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Reserve reserves a free port of 127.0.0.1 until release is called. The port stays bound by a socket that does not listen: a process that
// knows the address can listen on it, any number of times, and the kernel assigns the port to no other socket. Incident: a test chose a free port
// by listening on it and closing the listener; before the port was used, the kernel had assigned it to another test's endpoint or to an outgoing
// connection.
func Reserve() (addr string, release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("port: %w", err)
	}
	release = func() { syscall.Close(fd) }
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var sockaddr syscall.Sockaddr
	if err == nil {
		sockaddr, err = syscall.Getsockname(fd)
	}
	if err != nil {
		release()
		return "", nil, fmt.Errorf("port: %w", err)
	}
	in := sockaddr.(*syscall.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String(), release, nil
}

// WaitAcknowledged waits until the peer's kernel has acknowledged all data written to a TCP connection, including the FIN if the connection was closed
// for writing. The peer process may not have read the data yet. WaitAcknowledged returns false after a socket error, or if the acknowledgement
// takes more than 10 s.
func WaitAcknowledged(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Microsecond) {
		acknowledged := false
		if err := raw.Control(func(fd uintptr) {
			// Package unix has the TCP states under BPF names only.
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			acknowledged = err == nil && info.Unacked == 0 && info.Notsent_bytes == 0 && info.State != unix.BPF_TCP_FIN_WAIT1
		}); err != nil {
			return false
		}
		if acknowledged {
			return true
		}
	}
	return false
}
