package rulefile

import (
	"net/netip"
	"regexp"
	"strings"

	"github.com/balsampier/balsampier"
)

var (
	serviceNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	zoneNamePattern    = regexp.MustCompile(`^(UTC|[A-Z][A-Za-z0-9_+-]*(/[A-Za-z0-9_+-]+){1,2})$`)
	anyCallerPrefixes  = []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("::/0")}
)

// parseRule parses the words after the keyword rule.
func (l *lineParser) parseRule() balsampier.Rule {
	r := balsampier.Rule{Line: l.number, Comment: l.comment}
	l.parseService(&r)
	l.expectKeyword("to", isAddrPort)
	if w, ok := l.next("to and a service address, such as to 198.51.100.7:443"); ok {
		r.To, r.Columns.To = l.parseAddrPort(w), w.ruleColumn()
	}
	l.expectKeyword("from", looksLikePrefix)
	if w, ok := l.next("from and caller prefixes, such as from any"); ok {
		r.From, r.Columns.From = l.parsePrefixes(w), w.ruleColumn()
	}
	l.parseOptions(&r)
	l.requireComment("the rule has no comment", "end the line with # and who asked for it")
	return r
}

func (l *lineParser) parseService(r *balsampier.Rule) {
	if l.peek() == "to" && len(l.words) > 1 && isAddrPort(l.words[1].text) {
		l.addProblem(l.words[0], "the service name is missing", "write it between rule and to")
		return
	}
	w, ok := l.next("a service name")
	if !ok {
		return
	}
	r.Service, r.Columns.Service = balsampier.ServiceName(w.text), w.ruleColumn()
	if !serviceNamePattern.MatchString(w.text) {
		l.addProblem(w, "not a service name", "use small letters, digits and inner hyphens, at most 63")
	}
}

// parseOptions parses the windows, the time zone and the class.
func (l *lineParser) parseOptions(r *balsampier.Rule) {
	var hasDays, hasClass bool
	for len(l.words) > 0 {
		w, _ := l.next("")
		switch {
		case w.text == "class":
			if hasClass {
				l.addProblem(w, "the class is given twice", "keep one of them")
			}
			hasClass = true
			r.Class = l.parseClass()
		case looksLikeZone(w.text):
			if r.Zone != "" {
				l.addProblem(w, "the zone is given twice", "keep one zone, behind all days and hours; write another rule for another zone")
				continue
			}
			r.Zone, r.Columns.Zone = l.parseZone(w), w.ruleColumn()
		case looksLikeDays(w.text):
			if r.Zone != "" {
				l.addProblem(w, "days stand behind the zone", "move the zone behind all days and hours")
			}
			hasDays = true
			l.parseWindows(w, r)
		case looksLikeHours(w.text):
			l.addProblem(w, "the hours have no days", "write days before them, such as daily or mon-sat")
			l.parseHours(w, 0, r)
			hasDays = true
		default:
			l.addProblem(w, "unexpected word", "write days and hours with a zone, or class urgent, or nothing")
		}
	}
	l.checkZone(r, hasDays)
}

// checkZone adds a problem unless the rule has both hours and a time zone, or
// neither. hasDays is true if the line has days or hours, valid or not.
func (l *lineParser) checkZone(r *balsampier.Rule, hasDays bool) {
	if hasDays && r.Zone == "" {
		l.addProblem(word{column: l.endColumn}, "the hours have no zone", "add an IANA zone such as America/Lima after them")
	}
	if !hasDays && r.Zone != "" {
		l.addProblem(word{text: r.Zone, column: int(r.Columns.Zone)}, "the zone has no hours",
			"write days and hours before it, or delete it for a rule that always applies")
	}
}

func (l *lineParser) parseClass() balsampier.Class {
	if p := l.peek(); looksLikeZone(p) || looksLikeDays(p) || looksLikeHours(p) {
		l.addProblem(l.words[0], "the class is missing", "write urgent or normal after class")
		return balsampier.ClassNormal
	}
	w, ok := l.next("urgent or normal after class")
	switch {
	case !ok, w.text == "normal":
		return balsampier.ClassNormal
	case w.text == "urgent":
		return balsampier.ClassUrgent
	}
	l.addProblem(w, "unknown class", "write urgent or normal")
	return balsampier.ClassNormal
}

func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func (l *lineParser) parseAddrPort(w word) netip.AddrPort {
	a, err := netip.ParseAddrPort(w.text)
	switch {
	case err != nil || a.Port() == 0:
		l.addProblem(w, "not a service address", "write address:port, such as 198.51.100.7:443 or [2001:db8::7]:443")
	case a.Addr().Is4In6():
		l.addProblem(w, "an IPv4 address in IPv6 form", "write "+netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String())
	case a.Addr().Zone() != "":
		l.addProblem(w, "the service address names an interface", "delete the % and what follows it up to the bracket")
	case a.Addr().IsUnspecified(), a.Addr().IsMulticast():
		l.addProblem(w, "callers cannot reach this service address", "write the address of the service")
	}
	return a
}

// looksLikePrefix reports whether s is meant as caller prefixes, even if
// invalid.
func looksLikePrefix(s string) bool {
	return s == "any" || strings.Contains(s, "/") && s[0] < 'A' || startsWithDigit(s)
}

func startsWithDigit(s string) bool { return s != "" && s[0] >= '0' && s[0] <= '9' }

// parsePrefixes returns the valid prefixes among the comma-separated parts of
// w.
func (l *lineParser) parsePrefixes(w word) []netip.Prefix {
	var ps []netip.Prefix
	for _, p := range w.splitCommas() {
		if p.text == "any" {
			ps = append(ps, anyCallerPrefixes...)
			continue
		}
		if x, ok := l.parsePrefix(p); ok {
			ps = append(ps, x)
		}
	}
	return ps
}

func (l *lineParser) parsePrefix(w word) (netip.Prefix, bool) {
	p, err := netip.ParsePrefix(w.text)
	if err != nil {
		remedy := "write any, or address/bits such as 192.0.2.0/24 or 2001:db8::/32, with commas and no blanks between them"
		if a, err := netip.ParseAddr(w.text); err == nil && a.Zone() == "" {
			remedy = "write " + netip.PrefixFrom(a, a.BitLen()).String() + " for a single address"
		}
		l.addProblem(w, "not a caller prefix", remedy)
		return p, false
	}
	if p.Addr().Is4In6() {
		l.addProblem(w, "an IPv4 prefix in IPv6 form", "write it as an IPv4 prefix such as 192.0.2.0/24")
	} else if p != p.Masked() {
		l.addProblem(w, "the prefix has bits beyond its length", "write "+p.Masked().String())
	}
	return p, true
}

// looksLikeZone reports whether s is meant as a time zone, even if invalid.
func looksLikeZone(s string) bool {
	return s == "UTC" || strings.Contains(s, "/")
}

func (l *lineParser) parseZone(w word) string {
	if !zoneNamePattern.MatchString(w.text) {
		l.addProblem(w, "not a zone name", "use an IANA name such as America/Vancouver")
	}
	return w.text
}
