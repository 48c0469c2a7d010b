package port

import (
	"net"
	"testing"
)

// TestReservedPortIsExclusive checks that the kernel assigns a reserved port to no other socket, and that a process that knows the port can
// listen on it repeatedly.
func TestReservedPortIsExclusive(t *testing.T) {
	reserved := map[string]bool{}
	for range 2000 {
		addr, release, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer release()
		if reserved[addr] {
			t.Fatalf("%s was reserved twice", addr)
		}
		reserved[addr] = true
	}
	for range 2000 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if reserved[l.Addr().String()] {
			t.Fatalf("%s is reserved, but the kernel assigned it to another listener", l.Addr())
		}
	}
	for addr := range reserved {
		for range 2 {
			l, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			l.Close()
		}
	}
}
