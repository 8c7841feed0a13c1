// Package settingstest checks the documentation of settings against the code.
package settingstest

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"github.com/balsampier/balsampier/settings"
)

// keyRowPattern matches a table row whose first cell is the key of a setting.
var keyRowPattern = regexp.MustCompile("(?m)^\\| `([a-zA-Z.\\[\\]]+)` \\|")

// Check asserts that the section of the document lists exactly the keys of s, and
// that the example file contains each of them and decodes into s without unknown
// keys.
func Check(t *testing.T, s settings.Checker, document, section, example string) {
	c := qt.New(t)
	d, err := os.ReadFile(document)
	c.Assert(err, qt.IsNil)
	_, after, found := strings.Cut(string(d), "\n## "+section+"\n")
	c.Assert(found, qt.IsTrue, qt.Commentf("no section %q", section))
	after, _, _ = strings.Cut(after, "\n## ")
	var documented []string
	for _, m := range keyRowPattern.FindAllStringSubmatch(after, -1) {
		documented = append(documented, m[1])
	}
	want := keys(reflect.TypeOf(s).Elem(), "")
	slices.Sort(documented)
	slices.Sort(want)
	c.Assert(documented, qt.DeepEquals, want)

	e, err := os.ReadFile(example)
	c.Assert(err, qt.IsNil)
	for _, k := range want {
		last := k[strings.LastIndexByte(k, '.')+1:]
		c.Check(string(e), qt.Contains, strings.TrimSuffix(last, "[]")+":", qt.Commentf("%s lacks %s", example, k))
	}
	x := yaml.NewDecoder(strings.NewReader(string(e)))
	x.KnownFields(true)
	c.Assert(x.Decode(s), qt.IsNil)
	s.SetDefaults()
}

// keys returns the paths of all settings in the struct type t.
func keys(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() {
			continue
		}
		name, option, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		switch {
		case option == "inline":
			out = append(out, keys(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct && hasTags(f.Type.Elem()):
			out = append(out, keys(f.Type.Elem(), prefix+name+"[].")...)
		case f.Type.Kind() == reflect.Pointer && hasTags(f.Type.Elem()):
			out = append(out, keys(f.Type.Elem(), prefix+name+".")...)
		case f.Type.Kind() == reflect.Struct && hasTags(f.Type):
			out = append(out, keys(f.Type, prefix+name+".")...)
		default:
			out = append(out, prefix+name)
		}
	}
	return out
}

// hasTags reports whether the first field of t has a yaml tag, which marks t as a
// group of settings.
func hasTags(t reflect.Type) bool {
	return t.NumField() > 0 && t.Field(0).Tag.Get("yaml") != ""
}
