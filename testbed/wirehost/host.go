// Package wirehost runs the decisions of another build: a program that speaks the simulator's wire on its standard
// input and output, such as cmd/simadapter of any commit. So a day in virtual time can be played against it.
package wirehost

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"time"

	"pineport/config"
	"pineport/dispatch"
	"pineport/testbed/simulation"
)

// Host is a program that is being talked to.
type Host struct {
	cmd    *exec.Cmd
	in     io.WriteCloser
	out    *bufio.Reader
	w      *bufio.Writer
	begins map[int]string // begin lines that go with the next step of their courier
	killed map[int]bool
	page   int
	serial int
}

// Open starts a program, as the shell would.
func Open(command string) (*Host, error) {
	cmd := exec.Command("/bin/sh", "-c", "exec "+command)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", command, err)
	}
	return &Host{cmd: cmd, in: in, out: bufio.NewReaderSize(out, 1<<16), w: bufio.NewWriterSize(in, 1<<16),
		begins: map[int]string{}, killed: map[int]bool{}}, nil
}

// Close ends the program: at the end of its input, or by force two seconds later.
func (h *Host) Close() error {
	h.in.Close()
	force := time.AfterFunc(2*time.Second, func() { h.cmd.Process.Kill() })
	defer force.Stop()
	return h.cmd.Wait()
}

// Start implements simulation.Host: a courier begins with its next step.
func (h *Host) Start(courier int, ch dispatch.Config, settings map[string]string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "begin %d", ch.Seed)
	for _, key := range slices.Sorted(maps.Keys(settings)) {
		fmt.Fprintf(&b, " %s=%s", key, strings.ReplaceAll(settings[key], " ", "_"))
	}
	h.begins[courier] = b.String()
	return nil
}

// Kill implements simulation.Host.
func (h *Host) Kill(courier int) { h.killed[courier] = true }

// Step implements simulation.Host.
func (h *Host) Step(now dispatch.Micros, batches []simulation.Batch) ([][]dispatch.Action, error) {
	h.line("mark", seconds(now))
	for _, i := range slices.Sorted(maps.Keys(h.killed)) {
		h.line("on", strconv.Itoa(i))
		h.line("crash_now")
	}
	clear(h.killed)
	for _, b := range batches {
		h.line("on", strconv.Itoa(b.Courier))
		if begin := h.begins[b.Courier]; begin != "" {
			h.line(begin)
			delete(h.begins, b.Courier)
		}
		for _, e := range b.Events {
			h.event(e)
		}
	}
	h.line("go")
	if err := h.w.Flush(); err != nil {
		return nil, err
	}
	all := make([][]dispatch.Action, len(batches))
	at := map[int]int{}
	for i, b := range batches {
		at[b.Courier] = i
	}
	return all, h.read(all, at)
}

func (h *Host) line(parts ...string) {
	h.w.WriteString(strings.Join(parts, " "))
	h.w.WriteByte('\n')
}

func seconds(t dispatch.Micros) string { return strconv.FormatFloat(float64(t)/1e6, 'f', -1, 64) }

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func bit(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

var outcomes = map[dispatch.Outcome]string{dispatch.Delivered: "success", dispatch.Failure: "failure", dispatch.Throttled: "overloaded",
	dispatch.TimedOut: "timed_out", dispatch.Unreachable: "unreachable", dispatch.Broken: "broken", dispatch.Canceled: "withdrawn",
	dispatch.Unprocessed: "void"}

func (h *Host) event(e dispatch.Event) {
	switch e := e.(type) {
	case dispatch.MessageAccepted:
		flags := "0"
		if e.Resubmitted {
			flags = "2"
		}
		h.line("job_in", string(e.Message), "-", strconv.Itoa(int(e.Destination)), strconv.Itoa(int(e.Tenant)), dash(string(e.OrderingKey)),
			seconds(e.Deadline), strconv.Itoa(int(e.Class)), flags)
	case dispatch.AttemptFinished:
		remark := "-"
		if e.Outcome == dispatch.Throttled && e.RetryAfter > 0 {
			remark = strconv.FormatInt(int64(e.RetryAfter+999)/1000, 10)
		}
		var row []string
		for _, v := range e.LoadReport {
			row = append(row, strconv.FormatFloat(v, 'g', -1, 64))
		}
		h.line("settled", string(e.Message), strconv.Itoa(int(e.Attempt)), "-", outcomes[e.Outcome], seconds(e.Duration), bit(e.MessageDone),
			remark, dash(strings.Join(row, ",")))
	case dispatch.MessageCanceled:
		h.line("client_left", string(e.Message))
	case dispatch.TimerFired:
		h.line("tick_due", "look")
	case dispatch.EndpointUpdate:
		h.list(e)
	} // the wire has no word for a planned end
}

func (h *Host) list(e dispatch.EndpointUpdate) {
	h.serial++
	if e.Kind == dispatch.ListFailed {
		h.line("topology", strconv.Itoa(h.serial), "0", "Error")
		return
	}
	h.page = (h.page + 1) % 16
	h.line("list", strconv.Itoa(h.page), strconv.Itoa(len(e.Entries)))
	for _, l := range e.Entries {
		h.line("row", string(l.Endpoint), strconv.Itoa(int(l.Zone)), strconv.Itoa(int(l.Type)), strconv.Itoa(int(l.Destination)),
			[]string{"IN", "LAME", "OUT"}[l.Phase], strconv.FormatFloat(l.Rate, 'g', -1, 64), "-")
	}
	h.line("topology", strconv.Itoa(h.serial), strconv.Itoa(h.page), []string{"Persisted", "Complete", "Partial"}[e.Kind])
}

// read takes one reply.
func (h *Host) read(all [][]dispatch.Action, at map[int]int) error {
	courier, here := -1, -1
	for {
		text, err := h.out.ReadString('\n')
		if err != nil {
			return fmt.Errorf("the reply broke off: %w", err)
		}
		f := strings.Fields(text)
		if len(f) == 0 {
			continue
		}
		switch f[0] {
		case "ok":
			return nil
		case "at":
			if len(f) < 2 {
				return errors.New("at without a number")
			}
			n, err := strconv.Atoi(f[1])
			i, known := at[n]
			if err != nil || !known {
				return fmt.Errorf("a reply for courier %q, which had no event", f[1])
			}
			courier, here = n, i
		case "internal_error":
			return &simulation.CourierPanic{Courier: courier, Text: strings.Join(f[1:], " ")}
		default:
			if here < 0 {
				return fmt.Errorf("%q before any courier", f[0])
			}
			a, err := action(f)
			if err != nil {
				return &simulation.CourierPanic{Courier: courier, Text: err.Error()}
			}
			if a != nil {
				all[here] = append(all[here], a)
			}
		}
	}
}

// action reads one line of a reply; nil where the testbed has no use for it.
func action(f []string) (a dispatch.Action, err error) {
	need := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		if err == nil {
			err = fmt.Errorf("%s: the line is cut short", f[0])
		}
		return ""
	}
	span := func(i int, otherwise string) dispatch.Micros {
		text := otherwise
		if i < len(f) && f[i] != "-" {
			text = f[i]
		}
		n, fault := strconv.ParseFloat(text, 64)
		if fault != nil && err == nil {
			err = fmt.Errorf("%s: bad number %q", f[0], text)
		}
		return config.Micros(n)
	}
	switch f[0] {
	case "transmit":
		a = dispatch.Send{Message: dispatch.MessageID(need(1)), Endpoint: dispatch.EndpointID(need(2)), Timeout: span(3, "0")}
	case "cancel":
		n, fault := strconv.Atoi(need(2))
		if fault != nil {
			return nil, fmt.Errorf("cancel: bad number")
		}
		a = dispatch.Cancel{Message: dispatch.MessageID(need(1)), Attempt: dispatch.AttemptNumber(n)}
	case "reject":
		a = dispatch.Reject{Message: dispatch.MessageID(need(1)), RetryAfter: span(2, "0")}
	case "abort":
		a = dispatch.Fail{Message: dispatch.MessageID(need(1))}
	case "wake_me":
		a = dispatch.SetTimer{At: span(1, "")}
	case "let_go":
		a = dispatch.CloseIdle{Endpoint: dispatch.EndpointID(need(1))}
	case "stream_changes", "refresh":
		a = dispatch.WatchEndpoints{}
	case "journal_line":
		a = dispatch.Note{Text: strings.Join(f[1:], " ")}
	default:
		return nil, fmt.Errorf("unknown action %q", f[0])
	}
	return a, err
}
