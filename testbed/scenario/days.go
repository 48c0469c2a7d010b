package scenario

import (
	"embed"
	"fmt"
	"path"
	"strings"
)

//go:embed days/*.toml
var builtIn embed.FS

// BuiltIn returns the names of the scenarios that are built into the testbed.
func BuiltIn() []string { return Names(builtIn) }

// Names returns the names of the scenarios in the folder "days" of an embedded file system.
func Names(in embed.FS) (names []string) {
	entries, err := in.ReadDir("days")
	if err != nil {
		panic(err) // the folder is embedded, so it always exists
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Find reads a built-in scenario, or the file of that name if there is no such scenario.
func Find(name string) (*Definition, error) {
	file := path.Join("days", name+".toml")
	if text, err := builtIn.ReadFile(file); err == nil {
		return Read(file, text)
	}
	d, err := Load(name)
	if err != nil && !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("there is no built-in scenario %q; use a file name or one of %s", name, strings.Join(BuiltIn(), ", "))
	}
	return d, err
}
