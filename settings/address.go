package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

const inlineOption = "inline"

var addrPort = reflect.TypeFor[netip.AddrPort]()

// clearAddrs records a fault for every scalar that is no address where t wants
// one, and clears it: the YAML library would end at the first without telling
// its key.
func (f *Faults) clearAddrs(n *yaml.Node, t reflect.Type, key string) {
	for n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	switch {
	case t.Kind() == reflect.Pointer:
		f.clearAddrs(n, t.Elem(), key)
	case t == addrPort && n.Kind == yaml.ScalarNode:
		if _, err := netip.ParseAddrPort(n.Value); err != nil && n.Value != "" {
			f.Add(key, n.Value, fmt.Sprintf("line %d: write address:port", n.Line))
			n.Value = ""
		}
	case t.Kind() == reflect.Slice && n.Kind == yaml.SequenceNode:
		for i, e := range n.Content {
			f.clearAddrs(e, t.Elem(), fmt.Sprintf("%s[%d]", key, i))
		}
	case t.Kind() == reflect.Struct && n.Kind == yaml.MappingNode:
		f.clearFields(n, t, key)
	}
}

func (f *Faults) clearFields(n *yaml.Node, t reflect.Type, key string) {
	for i := range t.NumField() {
		name, option, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if option == inlineOption {
			f.clearFields(n, t.Field(i).Type, key)
			continue
		}
		for j := 0; j+1 < len(n.Content); j += 2 {
			if n.Content[j].Value == name {
				f.clearAddrs(n.Content[j+1], t.Field(i).Type, strings.TrimPrefix(key+"."+name, "."))
			}
		}
	}
}
