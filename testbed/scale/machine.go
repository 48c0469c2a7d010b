package scale

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// machine tells on what a run was measured.
func machine() string {
	text := fmt.Sprintf("%d cores, %s", runtime.NumCPU(), runtime.Version())
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		text += fmt.Sprintf(", %d GiB", (info.Totalram*uint64(info.Unit)+1<<29)>>30)
	}
	return text
}

// processorTime is what this process has used so far, in user and system mode.
func processorTime() time.Duration {
	var used unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// heapInUse is what the heap holds after a full collection, in bytes. What a pool holds goes with the second one.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// keepAlive holds what a figure of the heap counts until it has been taken.
func keepAlive(kept ...any) { runtime.KeepAlive(kept) }
