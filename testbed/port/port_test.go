package port

import (
	"net"
	"testing"
)

// TestReservedForOne: while a port is reserved nobody else is given it, and who knows it may listen on it again and again.
func TestReservedForOne(t *testing.T) {
	taken := map[string]bool{}
	for range 2000 {
		addr, letGo, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer letGo()
		if taken[addr] {
			t.Fatalf("%s was reserved twice", addr)
		}
		taken[addr] = true
	}
	for range 2000 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if taken[l.Addr().String()] {
			t.Fatalf("%s was reserved, and was given to another", l.Addr())
		}
	}
	for addr := range taken {
		for range 2 {
			l, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			l.Close()
		}
	}
}
