// Command dynamic checks that a program is linked dynamically against the C library. A test environment loads a library into the
// courier's process, which is only possible with dynamic linking.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "dynamic: usage: dynamic PROGRAM")
		os.Exit(1)
	}
	if err := check(os.Args[1]); err != nil {
		fmt.Fprintf(os.Stderr, "dynamic: %s: %v\n", os.Args[1], err)
		os.Exit(1)
	}
}

// check reads the ELF program headers and the list of imported libraries.
func check(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("statically linked: no program interpreter")
	}
	libraries, err := f.ImportedLibraries()
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("not linked against the C library, only against %v", libraries)
	}
	return nil
}
