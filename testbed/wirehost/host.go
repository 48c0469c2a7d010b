// Package wirehost runs the decision logic of another build in virtual-time scenarios. The other build is a program that speaks the simulator's
// wire protocol on its standard input and output, such as cmd/simadapter of any commit.
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

// Host is a running program that speaks the wire protocol. It implements simulation.Host.
type Host struct {
	cmd           *exec.Cmd
	stdin         io.WriteCloser
	stdout        *bufio.Reader
	writer        *bufio.Writer
	pendingBegins map[int]string // by courier: line that starts a new courier, to send before the events of that courier
	killed        map[int]bool
	page          int // number of the last endpoint list, 0 to 15; the program stores lists by this number
	serial        int // number of topology lines sent
}

// Open starts a program by running command in a shell.
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
	return &Host{cmd: cmd, stdin: in, stdout: bufio.NewReaderSize(out, 1<<16), writer: bufio.NewWriterSize(in, 1<<16),
		pendingBegins: map[int]string{}, killed: map[int]bool{}}, nil
}

// Close closes the input of the program and waits for it to exit. It kills the program after 2 s.
func (h *Host) Close() error {
	h.stdin.Close()
	force := time.AfterFunc(2*time.Second, func() { h.cmd.Process.Kill() })
	defer force.Stop()
	return h.cmd.Wait()
}

// Start implements simulation.Host. The program learns of the new courier with its next batch of events.
func (h *Host) Start(courier int, courierConfig dispatch.Config, settings map[string]string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "begin %d", courierConfig.Seed)
	for _, key := range slices.Sorted(maps.Keys(settings)) {
		fmt.Fprintf(&b, " %s=%s", key, strings.ReplaceAll(settings[key], " ", "_"))
	}
	h.pendingBegins[courier] = b.String()
	return nil
}

// Kill implements simulation.Host. The program learns of the kill with the next Step.
func (h *Host) Kill(courier int) { h.killed[courier] = true }

// Step implements simulation.Host. It sends the events of all batches, each of one courier, and reads the actions of these couriers.
func (h *Host) Step(now dispatch.Micros, batches []simulation.Batch) ([][]dispatch.Action, error) {
	h.writeLine("mark", seconds(now))
	for _, i := range slices.Sorted(maps.Keys(h.killed)) {
		h.writeLine("on", strconv.Itoa(i))
		h.writeLine("crash_now")
	}
	clear(h.killed)
	for _, b := range batches {
		h.writeLine("on", strconv.Itoa(b.Courier))
		if begin := h.pendingBegins[b.Courier]; begin != "" {
			h.writeLine(begin)
			delete(h.pendingBegins, b.Courier)
		}
		for _, e := range b.Events {
			h.writeEvent(e)
		}
	}
	h.writeLine("go")
	if err := h.writer.Flush(); err != nil {
		return nil, err
	}
	all := make([][]dispatch.Action, len(batches))
	batchIndex := map[int]int{}
	for i, b := range batches {
		batchIndex[b.Courier] = i
	}
	return all, h.readReply(all, batchIndex)
}

func (h *Host) writeLine(parts ...string) {
	h.writer.WriteString(strings.Join(parts, " "))
	h.writer.WriteByte('\n')
}

func seconds(t dispatch.Micros) string { return strconv.FormatFloat(float64(t)/1e6, 'f', -1, 64) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func boolDigit(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

var outcomes = map[dispatch.Outcome]string{dispatch.Delivered: "success", dispatch.Failure: "failure", dispatch.Throttled: "overloaded",
	dispatch.TimedOut: "timed_out", dispatch.Unreachable: "unreachable", dispatch.Broken: "broken", dispatch.Canceled: "withdrawn",
	dispatch.Unprocessed: "void"}

func (h *Host) writeEvent(e dispatch.Event) {
	switch e := e.(type) {
	case dispatch.MessageAccepted:
		flags := "0"
		if e.Resubmitted {
			flags = "2" // resubmitted
		}
		h.writeLine("job_in", string(e.Message), "-", strconv.Itoa(int(e.Destination)), strconv.Itoa(int(e.Tenant)), orDash(string(e.OrderingKey)),
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
		h.writeLine("settled", string(e.Message), strconv.Itoa(int(e.Attempt)), "-", outcomes[e.Outcome], seconds(e.Duration), boolDigit(e.MessageDone),
			remark, orDash(strings.Join(row, ",")))
	case dispatch.MessageCanceled:
		h.writeLine("client_left", string(e.Message))
	case dispatch.TimerFired:
		h.writeLine("tick_due", "look")
	case dispatch.EndpointUpdate:
		h.writeEndpointList(e)
	} // other events are skipped: the wire protocol has none for a graceful shutdown
}

func (h *Host) writeEndpointList(e dispatch.EndpointUpdate) {
	h.serial++
	if e.Kind == dispatch.ListFailed {
		h.writeLine("topology", strconv.Itoa(h.serial), "0", "Error")
		return
	}
	h.page = (h.page + 1) % 16
	h.writeLine("list", strconv.Itoa(h.page), strconv.Itoa(len(e.Entries)))
	for _, l := range e.Entries {
		h.writeLine("row", string(l.Endpoint), strconv.Itoa(int(l.Zone)), strconv.Itoa(int(l.Type)), strconv.Itoa(int(l.Destination)),
			[]string{"IN", "LAME", "OUT"}[l.Phase], strconv.FormatFloat(l.Rate, 'g', -1, 64), "-")
	}
	h.writeLine("topology", strconv.Itoa(h.serial), strconv.Itoa(h.page), []string{"Persisted", "Complete", "Partial"}[e.Kind])
}

// readReply reads the reply to one Step. It appends each action to all[i], where i is the batch index of the courier that the last at line names.
func (h *Host) readReply(all [][]dispatch.Action, batchIndex map[int]int) error {
	courier, batch := -1, -1
	for {
		text, err := h.stdout.ReadString('\n')
		if err != nil {
			return fmt.Errorf("reply ended early: %w", err)
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
				return errors.New("at line without a courier number")
			}
			n, err := strconv.Atoi(f[1])
			i, known := batchIndex[n]
			if err != nil || !known {
				return fmt.Errorf("reply for courier %q, which had no events in this turn", f[1])
			}
			courier, batch = n, i
		case "internal_error":
			return &simulation.CourierPanic{Courier: courier, Text: strings.Join(f[1:], " ")}
		default:
			if batch < 0 {
				return fmt.Errorf("%q before the first at line", f[0])
			}
			a, err := parseAction(f)
			if err != nil {
				return &simulation.CourierPanic{Courier: courier, Text: err.Error()}
			}
			if a != nil {
				all[batch] = append(all[batch], a)
			}
		}
	}
}

// parseAction parses one action line of a reply.
func parseAction(f []string) (a dispatch.Action, err error) {
	field := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		if err == nil {
			err = fmt.Errorf("%s: missing field", f[0])
		}
		return ""
	}
	duration := func(i int, fallback string) dispatch.Micros {
		text := fallback
		if i < len(f) && f[i] != "-" {
			text = f[i]
		}
		n, parseErr := strconv.ParseFloat(text, 64)
		if parseErr != nil && err == nil {
			err = fmt.Errorf("%s: bad number %q", f[0], text)
		}
		return config.Micros(n)
	}
	switch f[0] {
	case "transmit":
		a = dispatch.Send{Message: dispatch.MessageID(field(1)), Endpoint: dispatch.EndpointID(field(2)), Timeout: duration(3, "0")}
	case "cancel":
		n, parseErr := strconv.Atoi(field(2))
		if parseErr != nil {
			return nil, fmt.Errorf("cancel: bad attempt number")
		}
		a = dispatch.Cancel{Message: dispatch.MessageID(field(1)), Attempt: dispatch.AttemptNumber(n)}
	case "reject":
		a = dispatch.Reject{Message: dispatch.MessageID(field(1)), RetryAfter: duration(2, "0")}
	case "abort":
		a = dispatch.Fail{Message: dispatch.MessageID(field(1))}
	case "wake_me":
		a = dispatch.SetTimer{At: duration(1, "")}
	case "let_go":
		a = dispatch.CloseIdle{Endpoint: dispatch.EndpointID(field(1))}
	case "stream_changes", "refresh":
		a = dispatch.WatchEndpoints{}
	case "journal_line":
		a = dispatch.Note{Text: strings.Join(f[1:], " ")}
	default:
		return nil, fmt.Errorf("unknown action %q", f[0])
	}
	return a, err
}
