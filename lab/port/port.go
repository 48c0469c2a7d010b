// Package port reserves addresses on loopback for processes that are yet to start.
package port

import (
	"fmt"
	"net/netip"
	"syscall"
)

// Reserve takes a port of 127.0.0.1 that is free, and keeps it until let go. It stays bound without listening: whoever is told of it
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
