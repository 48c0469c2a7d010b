package quota

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version of what couriers say to one another here. Unknown fields are passed over.
const Version = 1

const (
	// mostWords bounds what one packet brings, of asks, loans and counts each; a packet holds fewer.
	mostWords = 64
	// mostBytes is what a packet may hold, under what the detector's transport carries in one datagram.
	mostBytes = 1200
	nameMost  = 128
	keyMost   = 256
	// mostUsage is the highest share of a limit that is believed of one courier: refused calls may go far beyond it.
	mostUsage = 4 * whole
	oldest    = 60 * second
)

// Words is what one courier says to another, in one packet.
type Words struct {
	Version int     `cbor:"1,keyasint"`
	From    string  `cbor:"2,keyasint"`
	Asks    []Ask   `cbor:"3,keyasint,omitempty"`
	Loans   []Loan  `cbor:"4,keyasint,omitempty"`
	Counts  []Count `cbor:"5,keyasint,omitempty"`
}

// Ask asks a member for a part of a limit; whoever asks reckons the loan's span from the instant at which it asked.
type Ask struct {
	Key   Key    `cbor:"1,keyasint"`
	Units Units  `cbor:"2,keyasint"`
	No    uint64 `cbor:"3,keyasint"` // drawn; a loan answers it
}

// Loan answers an ask. It may be smaller.
type Loan struct {
	Key   Key    `cbor:"1,keyasint"`
	Units Units  `cbor:"2,keyasint"`
	No    uint64 `cbor:"3,keyasint"`
}

// Count is what one courier has done on a route since its start, and what it uses of the limit just now.
type Count struct {
	Key     Key    `cbor:"1,keyasint"`
	Who     string `cbor:"2,keyasint"`
	Start   uint64 `cbor:"3,keyasint"`
	No      uint64 `cbor:"4,keyasint"` // grows
	Age     Micros `cbor:"5,keyasint"`
	Calls   uint64 `cbor:"6,keyasint"`
	Done    uint64 `cbor:"7,keyasint"`
	Refused uint64 `cbor:"8,keyasint"`
	Usage   Units  `cbor:"9,keyasint"`
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: mostWords, MaxMapPairs: 64, MaxNestedLevels: 6}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Encode makes a packet of words.
func Encode(w Words) ([]byte, error) {
	w.Version = Version
	return cbor.Marshal(w)
}

// Decode reads a packet; what no courier says is refused whole.
func Decode(text []byte) (w Words, err error) {
	if len(text) > 2*mostBytes {
		return Words{}, fmt.Errorf("%d bytes in one packet", len(text))
	}
	if err := decoder.Unmarshal(text, &w); err != nil {
		return Words{}, err
	}
	return w, w.check()
}

func (w *Words) check() error {
	if w.Version != Version || w.From == "" || len(w.From) > nameMost {
		return fmt.Errorf("version %d, from %.20q", w.Version, w.From)
	}
	if len(w.Asks) > mostWords || len(w.Loans) > mostWords || len(w.Counts) > mostWords {
		return fmt.Errorf("%d asks, %d loans, %d counts", len(w.Asks), len(w.Loans), len(w.Counts))
	}
	for _, a := range w.Asks {
		if !a.Key.sound() || a.Units < 1 || a.Units > whole {
			return fmt.Errorf("asks for %d", a.Units)
		}
	}
	for _, l := range w.Loans {
		if !l.Key.sound() || l.Units < 1 || l.Units > whole {
			return fmt.Errorf("lends %d", l.Units)
		}
	}
	for _, n := range w.Counts {
		if !n.Key.sound() || n.Who == "" || len(n.Who) > nameMost || n.Usage < 0 || n.Usage > mostUsage || n.Age < 0 || n.Age > oldest {
			return fmt.Errorf("counts %d of %.20q, %d old", n.Usage, n.Who, n.Age)
		}
	}
	return nil
}

// room is how many bytes a packet may still take.
type room int

func packet(from string) room { return room(mostBytes - 16 - len(from)) }

func (r *room) take(bytes int) bool {
	if int(*r) < bytes {
		return false
	}
	*r -= room(bytes)
	return true
}

// What an ask or a count takes in a packet, to the byte or a little more.
func (a Ask) size() int { return 5 + a.Key.size() + number(uint64(a.Units)) + number(a.No) }

func (n Count) size() int {
	size := 11 + n.Key.size() + 2 + len(n.Who)
	for _, v := range []uint64{n.Start, n.No, uint64(n.Age), n.Calls, n.Done, n.Refused, uint64(n.Usage)} {
		size += number(v)
	}
	return size
}

func (k Key) size() int { return 6 + number(uint64(uint32(k.Dest))) + len(k.Endpoint) }

// number is how many bytes an unsigned number takes.
func number(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	}
	return 9
}

func (k Key) sound() bool { return len(k.Endpoint) <= keyMost }
