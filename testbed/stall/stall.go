// Package stall measures how late a machine wakes a process, for tests that allow for it in their time limits.
package stall

import "time"

// interval is the time between two measurements.
const interval = 10 * time.Millisecond

// Measure measures the largest delay with which this machine wakes a sleeping goroutine. stop ends the measurement and returns that delay.
func Measure() (stop func() time.Duration) {
	stopped, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		maxDelay := time.Duration(0)
		for {
			select {
			case <-stopped:
				result <- maxDelay
				return
			default:
			}
			began := time.Now()
			time.Sleep(interval)
			maxDelay = max(maxDelay, time.Since(began)-interval)
		}
	}()
	return func() time.Duration { close(stopped); return <-result }
}
