package simprotocol

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"pineport/dispatch"
)

// Writer writes replies to a stream.
type Writer struct {
	out *bufio.Writer
}

// NewWriter returns a Writer to out. End flushes its buffer.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, 1<<16)} }

func (w *Writer) writeLine(parts ...string) {
	for i, part := range parts {
		if i > 0 {
			w.out.WriteByte(' ')
		}
		w.out.WriteString(part)
	}
	w.out.WriteByte('\n')
}

func seconds(t dispatch.Micros) string { return strconv.FormatFloat(float64(t)/1e6, 'f', -1, 64) }

// Actions writes the actions of one courier.
func (w *Writer) Actions(courier int, actions []dispatch.Action) {
	if len(actions) == 0 {
		return
	}
	w.writeLine("at", strconv.Itoa(courier))
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			w.writeLine("transmit", string(action.Message), string(action.Endpoint), seconds(action.Timeout))
		case dispatch.Cancel:
			w.writeLine("cancel", string(action.Message), strconv.Itoa(int(action.Attempt)))
		case dispatch.Reject:
			w.writeLine("reject", string(action.Message), seconds(action.RetryAfter))
		case dispatch.Fail:
			w.writeLine("abort", string(action.Message))
		case dispatch.SetTimer:
			w.writeLine("wake_me", seconds(action.At), "look")
		case dispatch.CloseIdle:
			w.writeLine("let_go", string(action.Endpoint))
		case dispatch.WatchEndpoints:
			w.writeLine("stream_changes", "1")
		case dispatch.Note:
			w.writeLine("journal_line", oneLine(action.Text))
		}
	}
}

// Panicked reports that the dispatcher of a courier panicked.
func (w *Writer) Panicked(courier int, text string) {
	w.writeLine("at", strconv.Itoa(courier))
	w.writeLine("internal_error", oneLine(text))
}

// End marks the end of a reply and flushes it.
func (w *Writer) End() error {
	w.writeLine("ok")
	return w.out.Flush()
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
