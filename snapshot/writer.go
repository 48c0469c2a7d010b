package snapshot

import (
	"log/slog"
	"sync"
	"time"

	"pineport/dispatch"
)

// Writer writes snapshots on a goroutine of its own, so that the event loop never waits for a disk. Of the snapshots that come
// while it writes, the last is written next.
type Writer struct {
	dir, courier string
	limit        int
	log          *slog.Logger
	mu           sync.Mutex
	next         *dispatch.Snapshot
	pending      chan struct{}
	done         chan struct{}
	write        func(dir string, content []byte) error
	failures     int // consecutive ones
	written      int
}

// NewWriter starts a keeper for a folder; each file holds limit bytes at most.
func NewWriter(dir, courier string, limit int, log *slog.Logger) *Writer {
	return newWriter(dir, courier, limit, log, Write)
}

func newWriter(dir, courier string, limit int, log *slog.Logger, write func(string, []byte) error) *Writer {
	writer := &Writer{dir: dir, courier: courier, limit: limit, log: log, pending: make(chan struct{}, 1), done: make(chan struct{}), write: write}
	go writer.run()
	return writer
}

// Offer hands over a snapshot, which belongs to the writer from then on. It never waits.
func (k *Writer) Offer(snapshot dispatch.Snapshot) {
	k.mu.Lock()
	k.next = &snapshot
	k.mu.Unlock()
	select {
	case k.pending <- struct{}{}:
	default: // it is notified already
	}
}

// Close writes the last snapshot that was offered, and waits for that for a while at most.
func (k *Writer) Close(within time.Duration) {
	close(k.pending)
	select {
	case <-k.done:
	case <-time.After(within):
		k.log.Warn("snapshot not written in time", "timeout", within)
	}
}

func (k *Writer) run() {
	defer close(k.done)
	for range k.pending {
		k.flush()
	}
	k.flush()
}

func (k *Writer) flush() {
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
		if k.failures > 0 {
			k.log.Info("snapshots are written again", "failures", k.failures)
		}
		k.failures = 0
		k.written++
		return
	}
	if k.failures++; k.failures == 1 { // one line for a disk that stays full
		k.log.Warn("snapshot not written", "error", err)
	}
}
