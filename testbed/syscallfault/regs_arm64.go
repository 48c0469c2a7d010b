package syscallfault

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Register sets of PTRACE_GETREGSET and PTRACE_SETREGSET.
const (
	generalSet    = 1     // NT_PRSTATUS
	systemCallSet = 0x404 // NT_ARM_SYSTEM_CALL
)

func init() { syscallNumbers["rename"] = 1 << 63 } // the machine lacks it: a number that no call has

// registers are the general registers of a stopped thread.
type registers struct{ syscall.PtraceRegs }

// moveSet reads or writes a register set of a thread.
func moveSet(request, thread, set int, data unsafe.Pointer, size uintptr) error {
	vector := unix.Iovec{Base: (*byte)(data), Len: uint64(size)}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PTRACE, uintptr(request), uintptr(thread), uintptr(set), uintptr(unsafe.Pointer(&vector)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

func getRegisters(thread int, r *registers) error {
	return moveSet(unix.PTRACE_GETREGSET, thread, generalSet, unsafe.Pointer(r), unsafe.Sizeof(*r))
}

func setRegisters(thread int, r *registers) error {
	return moveSet(unix.PTRACE_SETREGSET, thread, generalSet, unsafe.Pointer(r), unsafe.Sizeof(*r))
}

func (r *registers) number() uint64     { return r.Regs[8] }
func (r *registers) first() uint64      { return r.Regs[0] }
func (r *registers) second() uint64     { return r.Regs[1] }
func (r *registers) third() uint64      { return r.Regs[2] }
func (r *registers) setThird(v uint64)  { r.Regs[2] = v }
func (r *registers) setResult(v uint64) { r.Regs[0] = v }

func cancelCall(thread int, _ *registers) { // an invalid number: the kernel makes no call
	number := int32(-1)
	_ = moveSet(unix.PTRACE_SETREGSET, thread, systemCallSet, unsafe.Pointer(&number), unsafe.Sizeof(number))
}
