package snapshot

import (
	"log/slog"
	"sync"
	"time"

	"pineport/dispatch"
)

// Keeper writes what it is offered on a goroutine of its own, so that decisions never wait for a disk. Of what comes in
// while it writes, the last is written next.
type Keeper struct {
	dir, courier string
	limit        int
	log          *slog.Logger
	mu           sync.Mutex
	next         *dispatch.Snapshot
	wake         chan struct{}
	done         chan struct{}
	write        func(dir string, content []byte) error
	faults       int // in a row
	written      int
}

// Keep starts a keeper for a folder; each file holds limit bytes at most.
func Keep(dir, courier string, limit int, log *slog.Logger) *Keeper {
	return keep(dir, courier, limit, log, Write)
}

func keep(dir, courier string, limit int, log *slog.Logger, write func(string, []byte) error) *Keeper {
	k := &Keeper{dir: dir, courier: courier, limit: limit, log: log, wake: make(chan struct{}, 1), done: make(chan struct{}), write: write}
	go k.run()
	return k
}

// Offer hands over what was learned; it never waits. The lore belongs to the keeper from now on.
func (k *Keeper) Offer(l dispatch.Snapshot) {
	k.mu.Lock()
	k.next = &l
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // it has been woken already
	}
}

// Close writes what was offered last, and waits for that for a while at most.
func (k *Keeper) Close(within time.Duration) {
	close(k.wake)
	select {
	case <-k.done:
	case <-time.After(within):
		k.log.Warn("what was learned could not be written in time", "within", within)
	}
}

func (k *Keeper) run() {
	defer close(k.done)
	for range k.wake {
		k.flush()
	}
	k.flush()
}

func (k *Keeper) flush() {
	k.mu.Lock()
	l := k.next
	k.next = nil
	k.mu.Unlock()
	if l == nil {
		return
	}
	content, err := Encode(State{k.courier, *l}, k.limit)
	if err == nil {
		err = k.write(k.dir, content)
	}
	if err == nil {
		if k.faults > 0 {
			k.log.Info("what was learned is written again", "faults", k.faults)
		}
		k.faults = 0
		k.written++
		return
	}
	if k.faults++; k.faults == 1 { // one line for a disk that stays full
		k.log.Warn("what was learned was not written", "fault", err)
	}
}
