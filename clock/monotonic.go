package clock

import "golang.org/x/sys/unix"

// monotonic returns CLOCK_MONOTONIC in microseconds. It continues across restarts of the process; the monotonic readings of
// package time are only comparable within one process.
func monotonic() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0 // does not happen on Linux
	}
	return now.Nano() / 1000
}
