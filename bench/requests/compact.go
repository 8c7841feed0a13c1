package requests

import "strings"

// compact keeps of each measure the worst flood of each policy and server.
func compact(ms []Measure) []Measure {
	var out []Measure
	at := make(map[string]int)
	for _, m := range ms {
		name, flood := split(m.Name)
		m.Name, m.Flood = name, flood
		i, ok := at[name]
		switch {
		case !ok:
			at[name] = len(out)
			out = append(out, m)
		case m.worse(out[i]):
			out[i] = m
		}
	}
	return out
}

// split takes the flood, which is two parts, out of the name of a measure.
func split(name string) (rest, flood string) {
	p := strings.Split(name, "/")
	const parts = 6
	if len(p) != parts {
		return name, ""
	}
	return strings.Join([]string{p[0], p[1], p[2], p[5]}, "/"), p[3] + "/" + p[4]
}

// worse reports whether m is further from its bound than o.
func (m Measure) worse(o Measure) bool {
	if m.AtMost {
		return m.Value > o.Value
	}
	return m.Value < o.Value
}
