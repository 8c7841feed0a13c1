package main

import (
	"fmt"
	"strings"
)

// render fills in a settings template by the rules of DEPLOY.md, as far as the
// templates of deploy/ use them: {{a}}, {{a.b}}, {{a.0}}, {{#a}}..{{/a}},
// {{^a}}..{{/a}}, {{.}} and {{,}}.
func render(t string, v map[string]any) string { return renderIn(t, v, nil, true) }

func renderIn(t string, v map[string]any, current any, last bool) string {
	var out strings.Builder
	for {
		i := strings.Index(t, "{{")
		if i < 0 {
			out.WriteString(t)
			return out.String()
		}
		out.WriteString(t[:i])
		k := strings.Index(t[i:], "}}") + i
		name := t[i+2 : k]
		t = t[k+2:]
		switch {
		case name == ",":
			if !last {
				out.WriteString(",")
			}
		case name == ".":
			fmt.Fprint(&out, current)
		case name[0] == '#' || name[0] == '^':
			end := "{{/" + name[1:] + "}}"
			n := strings.Index(t, end)
			body := t[:n]
			t = t[n+len(end):]
			out.WriteString(renderSection(name, body, v))
		default:
			if x := lookUp(v, name); x != nil {
				fmt.Fprint(&out, x)
			}
		}
	}
}

func renderSection(name, body string, v map[string]any) string {
	x := lookUp(v, name[1:])
	isSet := x != nil && x != false
	if name[0] == '^' {
		if isSet {
			return ""
		}
		return renderIn(body, v, nil, true)
	}
	l, isList := x.([]string)
	switch {
	case !isSet:
		return ""
	case !isList:
		return renderIn(body, v, x, true)
	}
	var out strings.Builder
	for i, e := range l {
		out.WriteString(renderIn(body, v, e, i == len(l)-1))
	}
	return out.String()
}

func lookUp(v map[string]any, name string) any {
	var x any = v
	for _, k := range strings.Split(name, ".") {
		switch y := x.(type) {
		case map[string]any:
			x = y[k]
		case []int:
			if k != "0" || len(y) == 0 {
				return nil
			}
			x = y[0]
		default:
			return nil
		}
	}
	return x
}
