package main

import (
	"fmt"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// progress shows how far long work has come, where a person is watching.
func progress(what string, all int) func(done, all int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	bar := progressbar.NewOptions(all, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(what),
		progressbar.OptionClearOnFinish(), progressbar.OptionShowCount(), progressbar.OptionThrottle(100*time.Millisecond))
	return func(done, _ int) { _ = bar.Set(done) }
}

// tellProgress overwrites the line of progress, where a person is watching.
func tellProgress(text string) {
	if term.IsTerminal(int(os.Stderr.Fd())) {
		fmt.Fprintf(os.Stderr, "\r\033[K%s", text)
	}
}

// clearProgress takes the line away.
func clearProgress() { tellProgress("") }
