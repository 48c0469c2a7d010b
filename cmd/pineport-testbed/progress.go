package main

import (
	"fmt"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// progressBar returns a function that updates a progress bar on standard error, or nil if standard error is not a terminal.
func progressBar(description string, total int) func(done, total int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	bar := progressbar.NewOptions(total, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(description),
		progressbar.OptionClearOnFinish(), progressbar.OptionShowCount(), progressbar.OptionThrottle(100*time.Millisecond))
	return func(done, _ int) { _ = bar.Set(done) }
}

// showProgressLine replaces the progress line on standard error, if standard error is a terminal.
func showProgressLine(text string) {
	if term.IsTerminal(int(os.Stderr.Fd())) {
		fmt.Fprintf(os.Stderr, "\r\033[K%s", text)
	}
}

// clearProgressLine removes the progress line.
func clearProgressLine() { showProgressLine("") }
