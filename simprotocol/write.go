package simprotocol

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"pineport/dispatch"
)

// Writer puts replies on a stream.
type Writer struct {
	out *bufio.Writer
}

// NewWriter writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, 1<<16)} }

func (w *Writer) line(parts ...string) {
	for i, part := range parts {
		if i > 0 {
			w.out.WriteByte(' ')
		}
		w.out.WriteString(part)
	}
	w.out.WriteByte('\n')
}

func seconds(t dispatch.Micros) string { return strconv.FormatFloat(float64(t)/1e6, 'f', -1, 64) }

// Actions writes what one courier wants done.
func (w *Writer) Actions(courier int, actions []dispatch.Action) {
	if len(actions) == 0 {
		return
	}
	w.line("at", strconv.Itoa(courier))
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			w.line("transmit", string(a.Message), string(a.Endpoint), seconds(a.Timeout))
		case dispatch.Cancel:
			w.line("cancel", string(a.Message), strconv.Itoa(int(a.Attempt)))
		case dispatch.Reject:
			w.line("reject", string(a.Message), seconds(a.RetryAfter))
		case dispatch.Fail:
			w.line("abort", string(a.Message))
		case dispatch.SetTimer:
			w.line("wake_me", seconds(a.At), "look")
		case dispatch.CloseIdle:
			w.line("let_go", string(a.Endpoint))
		case dispatch.WatchEndpoints:
			w.line("stream_changes", "1")
		case dispatch.Note:
			w.line("journal_line", oneLine(a.Text))
		}
	}
}

// Fault reports that a courier's decisions failed.
func (w *Writer) Fault(courier int, text string) {
	w.line("at", strconv.Itoa(courier))
	w.line("internal_error", oneLine(text))
}

// End closes a reply and flushes it.
func (w *Writer) End() error {
	w.line("ok")
	return w.out.Flush()
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
