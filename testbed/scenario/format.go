package scenario

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// KeyDoc is what is known of one key of a day's file.
type KeyDoc struct{ Table, Key, Doc, Unit, Default, Allowed string }

// Keys lists all keys of a day's file, in order.
func Keys() []KeyDoc { return keys("", reflect.TypeFor[Definition]()) }

func keys(table string, t reflect.Type) (all []KeyDoc) {
	var later []KeyDoc
	for i := range t.NumField() {
		f := t.Field(i)
		key := f.Tag.Get("toml")
		switch {
		case f.Type.Kind() == reflect.Struct:
			later = append(later, keys("["+key+"]", f.Type)...)
			continue
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			later = append(later, keys("[["+key+"]]", f.Type.Elem())...)
			continue
		}
		def, ok := f.Tag.Lookup("def")
		if !ok {
			def = "must be given"
		} else if def == "" {
			def = "none"
		}
		allowed := strings.ReplaceAll(f.Tag.Get("one"), "|", ", ")
		if in := f.Tag.Get("in"); in != "" {
			allowed = strings.Replace(in, "..", " to ", 1)
		}
		all = append(all, KeyDoc{table, key, f.Tag.Get("doc"), f.Tag.Get("unit"), def, allowed})
	}
	return append(all, later...)
}

// WriteFormat writes the page on the format, from the tags that the reader itself uses.
func WriteFormat(w io.Writer) error {
	var err error
	say := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, args...)
		}
	}
	say("# A day's file\n\nWritten by `pineport-testbed format`; do not edit. TOML; a range is written `[low, high]`, the same twice for a fixed value.\n")
	table := "none yet"
	for _, k := range Keys() {
		if k.Table != table {
			table = k.Table
			title := "Top level"
			if table != "" {
				title = "`" + table + "`"
			}
			say("\n## %s\n\n| key | what | unit | allowed | if missing |\n| --- | --- | --- | --- | --- |\n", title)
		}
		say("| `%s` | %s | %s | %s | %s |\n", k.Key, k.Doc, k.Unit, k.Allowed, k.Default)
	}
	say("\n## Troubles\n\n| kind | what | `size` |\n| --- | --- | --- |\n")
	for _, name := range TroubleNames() {
		say("| `%s` | %s | %s |\n", name, usual[name].doc, usual[name].sizeDoc)
	}
	return err
}
