// Package syscallfault runs a program as a child process and makes its system calls fail, transfer fewer
// bytes, or end with the child killed, as a test decides. It intercepts system calls with ptrace, which needs
// no special privileges and no change to the program. It supports Linux on amd64 and arm64.
package syscallfault

import (
	"errors"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Process is a child process whose system calls are intercepted.
type Process struct {
	PID  int
	Done chan struct{} // closed when the child has exited

	decide    func(*Call) Effect
	status    syscall.WaitStatus
	heldUntil atomic.Int64 // end of the last HoldUp, in Unix nanoseconds

	mu           sync.Mutex
	effectCounts map[string]int // number of applied effects, by "CALL EFFECT"
}

// Start starts a child process with an environment. It calls decide from one goroutine before each system
// call in names; decide must not block. The kernel kills the child if this process exits.
func Start(binary string, env []string, stderr *os.File, names []string, decide func(*Call) Effect) (*Process, error) {
	return StartWithFiles(binary, env, nil, stderr, names, decide)
}

// StartWithFiles is like Start, and gives the child open files as descriptors 3 and following.
func StartWithFiles(binary string, env []string, files []*os.File, stderr *os.File, names []string, decide func(*Call) Effect) (*Process, error) {
	traced := map[uint64]string{}
	for _, name := range names {
		number, ok := syscallNumbers[name]
		if !ok {
			return nil, errors.New("syscallfault: unknown system call " + name)
		}
		traced[number] = name
	}
	p := &Process{Done: make(chan struct{}), decide: decide, effectCounts: map[string]int{}}
	started := make(chan error)
	cmd := exec.Command(binary)
	cmd.Env, cmd.ExtraFiles, cmd.Stderr, cmd.Stdout = env, files, stderr, stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
	go p.run(cmd, traced, started)
	return p, <-started
}

// Signal sends a signal to the child.
func (p *Process) Signal(signal syscall.Signal) error { return syscall.Kill(p.PID, signal) }

// HoldUp holds the child up for a length of time, as a busy machine does: each of its threads waits at its next system call, and signals
// wait too. It returns at once.
func (p *Process) HoldUp(length time.Duration) { p.heldUntil.Store(time.Now().Add(length).UnixNano()) }

// waitWhileHeld waits until the end of the last HoldUp.
func (p *Process) waitWhileHeld() { time.Sleep(time.Until(time.Unix(0, p.heldUntil.Load()))) }

// Status waits for the child to exit, and returns its wait status.
func (p *Process) Status() syscall.WaitStatus {
	<-p.Done
	return p.status
}

// EffectCounts returns how often each effect was applied, by "CALL EFFECT", for example "write EINTR".
func (p *Process) EffectCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]int{}
	for effect, n := range p.effectCounts {
		all[effect] = n
	}
	return all
}

// run starts and traces the child. ptrace requires that one thread does both.
func (p *Process) run(cmd *exec.Cmd, traced map[uint64]string, started chan<- error) {
	runtime.LockOSThread() // the thread ends with this goroutine
	defer close(p.Done)
	if err := cmd.Start(); err != nil {
		started <- err
		return
	}
	p.PID = cmd.Process.Pid
	const options = unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_EXITKILL
	var status syscall.WaitStatus
	_, err := syscall.Wait4(p.PID, &status, 0, nil)
	if err == nil {
		err = syscall.PtraceSetOptions(p.PID, options)
	}
	if err == nil {
		err = syscall.PtraceSyscall(p.PID, 0)
	}
	started <- err
	if err == nil {
		p.trace(traced)
	}
}

// trace handles the stops of the child's threads until the child exits.
func (p *Process) trace(traced map[uint64]string) {
	pending := map[int]*Call{} // by thread: the call whose effect is applied when it returns
	for {
		var status syscall.WaitStatus
		thread, err := syscall.Wait4(-1, &status, unix.WALL|unix.WNOTHREAD, nil)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return
		}
		if status.Exited() || status.Signaled() {
			delete(pending, thread)
			if thread == p.PID {
				p.status = status
				return
			}
			continue
		}
		deliver := 0
		switch signal := status.StopSignal(); signal {
		case syscall.SIGTRAP | 0x80:
			p.handleStop(thread, traced, pending)
		case syscall.SIGTRAP, syscall.SIGSTOP: // caused by ptrace itself
		default:
			deliver = int(signal)
		}
		p.waitWhileHeld()
		_ = syscall.PtraceSyscall(thread, deliver) // fails if the thread has exited; the next Wait4 reports that
	}
}

// atSyscallEntry reports whether a thread is stopped at the entry of a system call, not at its exit.
func atSyscallEntry(thread int) bool {
	const request, entry = 0x420e, 1 // PTRACE_GET_SYSCALL_INFO, PTRACE_SYSCALL_INFO_ENTRY
	var info [88]byte
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PTRACE, request, uintptr(thread), uintptr(len(info)), uintptr(unsafe.Pointer(&info)), 0, 0)
	return errno == 0 && info[0] == entry
}

// handleStop handles a thread that is stopped at the entry or exit of a system call.
func (p *Process) handleStop(thread int, traced map[uint64]string, pending map[int]*Call) {
	var regs registers
	if getRegisters(thread, &regs) != nil {
		return
	}
	if !atSyscallEntry(thread) {
		if call := pending[thread]; call != nil {
			delete(pending, thread)
			p.finishEffect(thread, call, &regs)
		}
		return
	}
	name, ok := traced[regs.number()]
	if !ok {
		return
	}
	call := &Call{Name: name, PID: p.PID, FD: int(int32(regs.first())), Size: int(regs.third()), Flags: int(regs.third()), Command: int(regs.second())}
	if call.effect = p.decide(call); call.effect == (Effect{}) {
		return
	}
	pending[thread] = call
	p.prepareEffect(thread, call, &regs)
}

// prepareEffect applies the part of an effect that precedes the call.
func (p *Process) prepareEffect(thread int, call *Call, regs *registers) {
	switch {
	case call.effect.Errno != 0 && !call.effect.After:
		cancelCall(thread, regs)
	case call.effect.Limit > 0 && call.effect.Limit < call.Size:
		regs.setThird(uint64(call.effect.Limit))
		_ = setRegisters(thread, regs)
	}
}

// finishEffect applies the rest of an effect when the call returns.
func (p *Process) finishEffect(thread int, call *Call, regs *registers) {
	if call.effect.Errno != 0 {
		regs.setResult(uint64(-int64(call.effect.Errno)))
	}
	regs.setThird(uint64(call.Size))
	_ = setRegisters(thread, regs)
	p.mu.Lock()
	p.effectCounts[call.Name+" "+call.effect.String()]++
	p.mu.Unlock()
	if call.effect.KillChild {
		_ = syscall.Kill(p.PID, syscall.SIGKILL)
	}
}
