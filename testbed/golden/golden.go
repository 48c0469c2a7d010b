// Package golden compares output with recorded files in tests, to guard formats that other processes, stored files and scripts depend on.
// With -update-golden, the tests rewrite the files.
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

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden files")

// Check fails the test unless got equals the content of testdata/NAME of the package under test.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
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
	t.Errorf("%s: got %d lines, recorded %d", path, len(gotLines), len(wantLines))
}

// Fill sets the exported fields reachable from target, which is a pointer, to values other than zero: numbers count up from 1 in field order,
// strings contain such a number, booleans are true, slices and maps get one element. Interfaces, functions and channels stay nil. The values
// depend on the type only.
func Fill(target any) {
	f := filler{}
	f.fill(reflect.ValueOf(target).Elem())
}

type filler struct{ lastNumber int64 }

func (f *filler) next() int64 {
	f.lastNumber++
	return f.lastNumber
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

// CheckTags fails the test if an exported field reachable from value has neither a "json" nor a "cbor" tag. Without a tag, the encoding uses the
// Go field name, so that renaming the field changes the format. An embedded struct
// needs no tag itself.
func CheckTags(t testing.TB, value any) {
	t.Helper()
	checkTags(t, reflect.TypeOf(value), map[reflect.Type]bool{})
}

func checkTags(t testing.TB, typ reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		checkTags(t, typ.Elem(), seen)
	case reflect.Struct:
		if seen[typ] {
			return
		}
		seen[typ] = true
		for i := range typ.NumField() {
			field := typ.Field(i)
			_, json := field.Tag.Lookup("json")
			_, cbor := field.Tag.Lookup("cbor")
			if field.IsExported() && !field.Anonymous && !json && !cbor {
				t.Errorf("%v.%s has no json or cbor tag: it is encoded under its Go field name", typ, field.Name)
			}
			if field.IsExported() || field.Anonymous {
				checkTags(t, field.Type, seen)
			}
		}
	}
}
