package scale

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// machine describes the machine that a run was measured on: cores, Go version and memory.
func machine() string {
	text := fmt.Sprintf("%d cores, %s", runtime.NumCPU(), runtime.Version())
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		text += fmt.Sprintf(", %d GiB", (info.Totalram*uint64(info.Unit)+1<<29)>>30)
	}
	return text
}

// processorTime returns the user and system CPU time that this process has used so far.
func processorTime() time.Duration {
	var used unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// heapInUse returns the bytes of live heap objects. It collects twice because objects in a sync.Pool survive the first
// collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// keepAlive keeps objects reachable until a heap measurement that includes them is done.
func keepAlive(kept ...any) { runtime.KeepAlive(kept) }
