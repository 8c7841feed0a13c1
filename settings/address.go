package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// inlineOption is the yaml tag option of an embedded struct whose keys belong to
// its parent.
const inlineOption = "inline"

var addrPortType = reflect.TypeFor[netip.AddrPort]()

// clearInvalidAddrs records a fault for every scalar in n that is not an address
// although t requires one, and clears it. Otherwise the YAML library would stop
// at the first such scalar and its error would not name the key.
func (f *Faults) clearInvalidAddrs(n *yaml.Node, t reflect.Type, key string) {
	for n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	switch {
	case t.Kind() == reflect.Pointer:
		f.clearInvalidAddrs(n, t.Elem(), key)
	case t == addrPortType && n.Kind == yaml.ScalarNode:
		if _, err := netip.ParseAddrPort(n.Value); err != nil && n.Value != "" {
			f.Add(key, n.Value, fmt.Sprintf("line %d: write address:port", n.Line))
			n.Value = ""
		}
	case t.Kind() == reflect.Slice && n.Kind == yaml.SequenceNode:
		for i, e := range n.Content {
			f.clearInvalidAddrs(e, t.Elem(), fmt.Sprintf("%s[%d]", key, i))
		}
	case t.Kind() == reflect.Struct && n.Kind == yaml.MappingNode:
		f.clearInvalidFields(n, t, key)
	}
}

// clearInvalidFields calls clearInvalidAddrs for the fields of the struct type t.
func (f *Faults) clearInvalidFields(n *yaml.Node, t reflect.Type, key string) {
	for i := range t.NumField() {
		name, option, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if option == inlineOption {
			f.clearInvalidFields(n, t.Field(i).Type, key)
			continue
		}
		for j := 0; j+1 < len(n.Content); j += 2 {
			if n.Content[j].Value == name {
				f.clearInvalidAddrs(n.Content[j+1], t.Field(i).Type, strings.TrimPrefix(key+"."+name, "."))
			}
		}
	}
}
