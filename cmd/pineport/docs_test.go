package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// repository is the root of the checkout, from this package.
const repository = "../.."

// readPage reads a page of docs.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repository, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// logMessages are the texts of all log lines in the source of the courier.
func logMessages(t *testing.T) map[string]bool {
	t.Helper()
	logCall := regexp.MustCompile(`\.(?:Debug|Info|Warn|Error)\("([^"]+)"`)
	dropped := regexp.MustCompile(`NewRecord\([^"]*"([^"]+)"`)
	messages := map[string]bool{}
	err := filepath.WalkDir(repository, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if name := entry.Name(); entry.IsDir() && (name == "testbed" || name == "journal" || name == ".git") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		for _, pattern := range []*regexp.Regexp{logCall, dropped} {
			for _, found := range pattern.FindAllStringSubmatch(string(text), -1) {
				messages[found[1]] = true
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return messages
}

// column returns the quoted texts in a column of all tables of a page; the first column is 1.
func column(page string, number int) (quotes []string) {
	quoted := regexp.MustCompile("`([^`]+)`")
	for _, line := range strings.Split(page, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) <= number+1 || strings.HasPrefix(strings.TrimSpace(cells[1]), "---") {
			continue
		}
		for _, found := range quoted.FindAllStringSubmatch(cells[number], -1) {
			quotes = append(quotes, found[1])
		}
	}
	return quotes
}

// attributes of a quoted log line, with which its text ends.
var attributes = regexp.MustCompile(` [a-z_]+=.*$`)

// TestPagesQuoteLogLines: every log line that the pages for operators quote is written by the source.
func TestPagesQuoteLogLines(t *testing.T) {
	messages := logMessages(t)
	for _, quote := range column(readPage(t, "logs.md"), 1) {
		if !messages[quote] {
			t.Errorf("logs.md: no log line %q", quote)
		}
	}
	// What stands in the column of signs and is no log line: outcomes, replies, metrics and texts within lines.
	others := map[string]bool{"unreachable": true, "timed_out": true, "-BUSY": true, "targets_disabled": true, "truncated=true": true,
		"torn or damaged": true, "unknown version": true}
	quotes := column(readPage(t, "oncall.md"), 2)
	if len(quotes) < 20 {
		t.Errorf("%d quotes in oncall.md: the page is not read", len(quotes))
	}
	for _, quote := range quotes {
		if line := attributes.ReplaceAllString(quote, ""); !others[quote] && !messages[line] {
			t.Errorf("oncall.md: no log line %q", line)
		}
	}
}
