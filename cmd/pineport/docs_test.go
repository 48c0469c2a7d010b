package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// repositoryRoot is the root of the repository, relative to this package.
const repositoryRoot = "../.."

// readPage returns a page of docs/.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// logMessages returns the messages of all log calls in the courier's source.
func logMessages(t *testing.T) map[string]bool {
	t.Helper()
	logCall := regexp.MustCompile(`\.(?:Debug|Info|Warn|Error)\("([^"]+)"`)
	recordCall := regexp.MustCompile(`NewRecord\([^"]*"([^"]+)"`)
	messages := map[string]bool{}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
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
		for _, pattern := range []*regexp.Regexp{logCall, recordCall} {
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

// column returns the code-quoted texts in one column of all tables of a page. The first column has index 1.
func column(page string, index int) (quotes []string) {
	quoted := regexp.MustCompile("`([^`]+)`")
	for _, line := range strings.Split(page, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) <= index+1 || strings.HasPrefix(strings.TrimSpace(cells[1]), "---") {
			continue
		}
		for _, found := range quoted.FindAllStringSubmatch(cells[index], -1) {
			quotes = append(quotes, found[1])
		}
	}
	return quotes
}

// attributes matches the attributes at the end of a quoted log line.
var attributes = regexp.MustCompile(` [a-z_]+=.*$`)

// TestPagesQuoteLogLines checks that every log message quoted in the operators' pages exists in the source.
func TestPagesQuoteLogLines(t *testing.T) {
	messages := logMessages(t)
	for _, quote := range column(readPage(t, "logs.md"), 1) {
		if !messages[quote] {
			t.Errorf("logs.md: no log line %q", quote)
		}
	}
	// These quotes in the symptoms column are not messages of log lines: outcomes, replies, metrics, and attributes or error texts in log lines.
	otherQuotes := map[string]bool{"unreachable": true, "timed_out": true, "-BUSY": true, "targets_disabled": true, "truncated=true": true,
		"torn or damaged": true, "unknown version": true}
	quotes := column(readPage(t, "oncall.md"), 2)
	if len(quotes) < 20 {
		t.Errorf("only %d quotes found in oncall.md: the page was not parsed", len(quotes))
	}
	for _, quote := range quotes {
		if line := attributes.ReplaceAllString(quote, ""); !otherQuotes[quote] && !messages[line] {
			t.Errorf("oncall.md: no log line %q", line)
		}
	}
}

// declarations returns the names of functions, methods, types, fields and constants in the courier's source. The pattern also matches words
// that begin a line indented by one tab.
func declarations(t *testing.T) map[string]bool {
	t.Helper()
	declared := regexp.MustCompile(`(?m)^(?:func (?:\([^)]*\) )?|type |\t)([A-Za-z]\w*)`)
	names := map[string]bool{}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
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
		for _, found := range declared.FindAllStringSubmatch(string(text), -1) {
			names[found[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// TestArchitecturePageNamesExist checks that every package, program, file, function and type named in ARCHITECTURE.md exists.
func TestArchitecturePageNamesExist(t *testing.T) {
	page := readPage(t, "ARCHITECTURE.md")
	names := declarations(t)
	quoted := regexp.MustCompile("`([^`\n]+)`")
	// Quotes that are neither paths nor identifiers: files of the state directory, configuration keys, and commands.
	otherQuotes := map[string]bool{"learned.lore": true, "peers.start": true, "maintenance.out": true, "owner.lock": true, "known": true, "policy": true,
		"pineport config page": true, "state": true, "members": true}
	paths, identifiers := 0, 0
	for _, found := range quoted.FindAllStringSubmatch(page, -1) {
		quote := found[1]
		if _, err := os.Stat(filepath.Join(repositoryRoot, quote)); err == nil {
			paths++
			continue
		}
		parts := strings.Split(quote, ".")
		if last := parts[len(parts)-1]; names[last] {
			identifiers++
		} else if !otherQuotes[quote] {
			t.Errorf("%q is not a path, and %q is not declared", quote, last)
		}
	}
	if paths < 30 || identifiers < 30 {
		t.Errorf("only %d paths and %d identifiers found: the page was not parsed", paths, identifiers)
	}
}

// TestReadmeNamesPathsThatExist checks that every path in the README's table of packages exists.
func TestReadmeNamesPathsThatExist(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), "docs/ARCHITECTURE.md") {
		t.Error("README.md does not point to docs/ARCHITECTURE.md")
	}
	_, parts, _ := strings.Cut(string(text), "## How the parts fit")
	parts, _, _ = strings.Cut(parts, "## Under the bench")
	paths := column(parts, 1)
	if len(paths) < 20 {
		t.Errorf("only %d paths found in README.md: the table was not parsed", len(paths))
	}
	for _, path := range paths {
		if _, err := os.Stat(filepath.Join(repositoryRoot, path)); err != nil {
			t.Errorf("README.md: %v", err)
		}
	}
}
