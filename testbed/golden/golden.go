// Package golden holds what a program writes against files that were recorded earlier: formats that other processes, stored
// files and scripts rely on. Tests alone use it. With -update the files are written anew.
package golden

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

var update = flag.Bool("update-golden", false, "write the golden files anew")

// Check fails the test unless got is, byte by byte, what testdata/NAME of the package under test holds.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Errorf("%s, line %d differs:\ngot      %s\nrecorded %s", path, i+1, gotLines[i], wantLines[i])
			return
		}
	}
	t.Errorf("%s: %d lines, %d recorded", path, len(gotLines), len(wantLines))
}

// Fill sets every exported field that can be reached from what, a pointer, to a value of its own: numbers count up from 1 in
// the order of the fields, texts hold such a number, lists and maps have one item. The same type is filled alike each time.
func Fill(what any) {
	f := filler{}
	f.fill(reflect.ValueOf(what).Elem())
}

type filler struct{ number int64 }

func (f *filler) next() int64 {
	f.number++
	return f.number
}

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.next())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", f.next()))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, item := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(item)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, item)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	}
}

// CheckTags fails the test where a field that is encoded with a value has no tag with its name in the encoding ("json" or "cbor"):
// the name of the field in the program would be its name in the format, and a rename would change it.
func CheckTags(t testing.TB, value any) {
	t.Helper()
	tagged(t, reflect.TypeOf(value), map[reflect.Type]bool{})
}

func tagged(t testing.TB, what reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	switch what.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		tagged(t, what.Elem(), seen)
	case reflect.Struct:
		if seen[what] {
			return
		}
		seen[what] = true
		for i := range what.NumField() {
			field := what.Field(i)
			_, json := field.Tag.Lookup("json")
			_, cbor := field.Tag.Lookup("cbor")
			if field.IsExported() && !field.Anonymous && !json && !cbor {
				t.Errorf("%v.%s is encoded by its name in the program: it has no tag", what, field.Name)
			}
			if field.IsExported() || field.Anonymous {
				tagged(t, field.Type, seen)
			}
		}
	}
}
