// Package syscallfault runs a program of ours as a child and has system calls of it fail, fall short, or end with the child killed, as
// a test says. It leads the child's calls through ptrace, which takes no special rights; the child is not changed. Linux on amd64 only.
package syscallfault

import (
	"errors"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Process is a child whose system calls are led through this package.
type Process struct {
	PID  int
	Done chan struct{} // closed when it has ended

	decide func(*Call) Effect
	status syscall.WaitStatus

	mu     sync.Mutex
	struck map[string]int // effects that were carried out, by call and effect
}

// Start starts a child with an environment; decide is asked before each call of a kind in names, by one goroutine, and must not wait.
// The child is killed if this process ends.
func Start(binary string, env []string, stderr *os.File, names []string, decide func(*Call) Effect) (*Process, error) {
	wanted := map[uint64]string{}
	for _, name := range names {
		number, ok := numbers[name]
		if !ok {
			return nil, errors.New("syscallfault: no call is known by the name " + name)
		}
		wanted[number] = name
	}
	p := &Process{Done: make(chan struct{}), decide: decide, struck: map[string]int{}}
	started := make(chan error)
	go p.run(binary, env, stderr, wanted, started)
	return p, <-started
}

// Signal sends a signal to the child.
func (p *Process) Signal(signal syscall.Signal) error { return syscall.Kill(p.PID, signal) }

// Status returns how the child ended, once it has.
func (p *Process) Status() syscall.WaitStatus {
	<-p.Done
	return p.status
}

// EffectCounts returns how often each effect was carried out, by "CALL EFFECT".
func (p *Process) EffectCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]int{}
	for what, n := range p.struck {
		all[what] = n
	}
	return all
}

// run starts and traces the child; one thread must do both.
func (p *Process) run(binary string, env []string, stderr *os.File, wanted map[uint64]string, started chan<- error) {
	runtime.LockOSThread() // and it ends with this goroutine
	defer close(p.Done)
	cmd := exec.Command(binary)
	cmd.Env, cmd.Stderr, cmd.Stdout = env, stderr, stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
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
		p.trace(wanted)
	}
}

// trace follows the child's threads until it has ended.
func (p *Process) trace(wanted map[uint64]string) {
	pending := map[int]*Call{} // by thread: what is to be done as its call returns
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
			p.stopped(thread, wanted, pending)
		case syscall.SIGTRAP, syscall.SIGSTOP: // of this package's own doing
		default:
			deliver = int(signal)
		}
		_ = syscall.PtraceSyscall(thread, deliver) // a thread that is gone by now is reported next
	}
}

// entering reports whether a thread stands before its call rather than behind it.
func entering(thread int) bool {
	const request, entry = 0x420e, 1 // PTRACE_GET_SYSCALL_INFO, PTRACE_SYSCALL_INFO_ENTRY
	var info [88]byte
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PTRACE, request, uintptr(thread), uintptr(len(info)), uintptr(unsafe.Pointer(&info)), 0, 0)
	return errno == 0 && info[0] == entry
}

// stopped is called as a thread stands before or behind a call.
func (p *Process) stopped(thread int, wanted map[uint64]string, pending map[int]*Call) {
	var registers syscall.PtraceRegs
	if syscall.PtraceGetRegs(thread, &registers) != nil {
		return
	}
	if !entering(thread) {
		if call := pending[thread]; call != nil {
			delete(pending, thread)
			p.leave(thread, call, &registers)
		}
		return
	}
	name, ok := wanted[registers.Orig_rax]
	if !ok {
		return
	}
	call := &Call{Name: name, PID: p.PID, FD: int(int32(registers.Rdi)), Size: int(registers.Rdx), Flags: int(registers.Rdx)}
	if call.effect = p.decide(call); call.effect == (Effect{}) {
		return
	}
	pending[thread] = call
	p.enter(thread, call, &registers)
}

// enter prepares a call's effect before the call.
func (p *Process) enter(thread int, call *Call, registers *syscall.PtraceRegs) {
	switch {
	case call.effect.Errno != 0 && !call.effect.After:
		registers.Orig_rax = ^uint64(0) // no call at all
	case call.effect.Limit > 0 && call.effect.Limit < call.Size:
		registers.Rdx = uint64(call.effect.Limit)
	default:
		return
	}
	_ = syscall.PtraceSetRegs(thread, registers)
}

// leave carries a call's effect out as the call returns.
func (p *Process) leave(thread int, call *Call, registers *syscall.PtraceRegs) {
	if call.effect.Errno != 0 {
		registers.Rax = uint64(-int64(call.effect.Errno))
	}
	registers.Rdx = uint64(call.Size)
	_ = syscall.PtraceSetRegs(thread, registers)
	p.mu.Lock()
	p.struck[call.Name+" "+call.effect.String()]++
	p.mu.Unlock()
	if call.effect.KillChild {
		_ = syscall.Kill(p.PID, syscall.SIGKILL)
	}
}
