package syscallfault

import (
	"syscall"

	"golang.org/x/sys/unix"
)

func init() { syscallNumbers["rename"] = unix.SYS_RENAME } // arm64 lacks it

// registers are the general registers of a stopped thread.
type registers struct{ syscall.PtraceRegs }

func getRegisters(thread int, r *registers) error {
	return syscall.PtraceGetRegs(thread, &r.PtraceRegs)
}

func setRegisters(thread int, r *registers) error {
	return syscall.PtraceSetRegs(thread, &r.PtraceRegs)
}

func (r *registers) number() uint64     { return r.Orig_rax }
func (r *registers) first() uint64      { return r.Rdi }
func (r *registers) second() uint64     { return r.Rsi }
func (r *registers) third() uint64      { return r.Rdx }
func (r *registers) setThird(v uint64)  { r.Rdx = v }
func (r *registers) setResult(v uint64) { r.Rax = v }

func cancelCall(thread int, r *registers) { // an invalid number: the kernel makes no call
	r.Orig_rax = ^uint64(0)
	_ = setRegisters(thread, r)
}
