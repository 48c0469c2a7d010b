package snapshot

import (
	"log/slog"
	"sync"
	"time"

	"pineport/dispatch"
)

// Writer writes snapshots in its own goroutine, so that the event loop never waits for the disk. Of the snapshots offered
// during a write, only the latest is written afterwards.
type Writer struct {
	dir, courier        string
	limit               int
	log                 *slog.Logger
	mu                  sync.Mutex
	next                *dispatch.Snapshot // the snapshot to write next, or nil
	wake                chan struct{}      // signals that next is set; closed by Close
	done                chan struct{}
	write               func(dir string, content []byte) error
	consecutiveFailures int
	written             int // successful writes
}

// NewWriter starts a Writer for the file in dir. limit is the maximum size of the file in bytes.
func NewWriter(dir, courier string, limit int, log *slog.Logger) *Writer {
	return newWriter(dir, courier, limit, log, Write)
}

func newWriter(dir, courier string, limit int, log *slog.Logger, write func(string, []byte) error) *Writer {
	writer := &Writer{dir: dir, courier: courier, limit: limit, log: log, wake: make(chan struct{}, 1), done: make(chan struct{}), write: write}
	go writer.run()
	return writer
}

// Offer passes a snapshot to the writer and never blocks. The caller must not modify the snapshot afterwards.
func (w *Writer) Offer(snapshot dispatch.Snapshot) {
	w.mu.Lock()
	w.next = &snapshot
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // a signal is already pending
	}
}

// Close waits until the latest offered snapshot is written, at most for timeout. Offer must not be called afterwards.
func (w *Writer) Close(timeout time.Duration) {
	close(w.wake)
	select {
	case <-w.done:
	case <-time.After(timeout):
		w.log.Warn("snapshot not written in time", "timeout", timeout)
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.flush()
	}
	w.flush()
}

// flush writes the latest offered snapshot, if it has not been written yet.
func (w *Writer) flush() {
	w.mu.Lock()
	snapshot := w.next
	w.next = nil
	w.mu.Unlock()
	if snapshot == nil {
		return
	}
	content, err := Encode(State{w.courier, *snapshot}, w.limit)
	if err == nil {
		err = w.write(w.dir, content)
	}
	if err == nil {
		if w.consecutiveFailures > 0 {
			w.log.Info("snapshots are written again", "failures", w.consecutiveFailures)
		}
		w.consecutiveFailures = 0
		w.written++
		return
	}
	if w.consecutiveFailures++; w.consecutiveFailures == 1 { // log only the first of consecutive failures, for example on a full disk
		w.log.Warn("snapshot not written", "error", err)
	}
}
