package scenario

import (
	"embed"
	"fmt"
	"path"
	"strings"
)

//go:embed days/*.toml
var builtIn embed.FS

// BuiltIn lists the names of the days that come with the testbed.
func BuiltIn() []string { return Names(builtIn) }

// Names lists the days in the folder of that name of an embedded file system.
func Names(in embed.FS) (names []string) {
	entries, err := in.ReadDir("days")
	if err != nil {
		panic(err) // embedded, so it is there
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Find reads a day that comes with the testbed, or else a file.
func Find(name string) (*Definition, error) {
	file := path.Join("days", name+".toml")
	if text, err := builtIn.ReadFile(file); err == nil {
		return Read(file, text)
	}
	d, err := Load(name)
	if err != nil && !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("no day has the name %q; there are %s, and files", name, strings.Join(BuiltIn(), ", "))
	}
	return d, err
}
