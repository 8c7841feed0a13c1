package requests

import "strings"

// keepWorst reduces ms to one measure per policy, server kind and quantity: the
// one of the flood with the worst value. Flood names that flood.
func keepWorst(ms []Measure) []Measure {
	var out []Measure
	worstIndex := make(map[string]int)
	for _, m := range ms {
		name, flood := splitName(m.Name)
		m.Name, m.Flood = name, flood
		i, ok := worstIndex[name]
		switch {
		case !ok:
			worstIndex[name] = len(out)
			out = append(out, m)
		case m.isWorse(out[i]):
			out[i] = m
		}
	}
	return out
}

// splitName removes the flood, which is the fourth and fifth of six parts, from
// the name of a measure. Other names are returned unchanged, with no flood.
func splitName(name string) (rest, flood string) {
	p := strings.Split(name, "/")
	const parts = 6
	if len(p) != parts {
		return name, ""
	}
	return strings.Join([]string{p[0], p[1], p[2], p[5]}, "/"), p[3] + "/" + p[4]
}

// isWorse reports whether the value of m is worse than that of o: higher where
// AtMost is set, lower otherwise.
func (m Measure) isWorse(o Measure) bool {
	if m.AtMost {
		return m.Value > o.Value
	}
	return m.Value < o.Value
}
