package port

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// UnreadByPeer returns the number of bytes that a loopback connection has carried to the peer's socket and that the peer process has not read
// yet. ok is false if the peer's socket is closed, or is not of IPv4.
func UnreadByPeer(conn net.Conn) (unread int, ok bool) {
	peer, peerOK := conn.RemoteAddr().(*net.TCPAddr)
	local, localOK := conn.LocalAddr().(*net.TCPAddr)
	if !peerOK || !localOK || peer.IP.To4() == nil || local.IP.To4() == nil {
		return 0, false
	}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, false
	}
	defer table.Close()
	wanted := kernelAddress(peer) + " " + kernelAddress(local) + " "
	for lines := bufio.NewScanner(table); lines.Scan(); {
		_, socket, _ := strings.Cut(lines.Text(), ": ")
		rest, found := strings.CutPrefix(socket, wanted)
		if !found {
			continue
		}
		// The state, the queues to write and to read in hexadecimal, and more.
		fields := strings.Fields(rest)
		if len(fields) < 2 {
			return 0, false
		}
		_, queue, _ := strings.Cut(fields[1], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		return int(bytes), err == nil
	}
	return 0, false
}

// kernelAddress returns an IPv4 address as /proc/net/tcp writes it.
func kernelAddress(address *net.TCPAddr) string {
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(address.IP.To4()), address.Port)
}
