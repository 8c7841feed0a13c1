package rulefile

import (
	"net/netip"
	"regexp"
	"strings"

	"github.com/balsampier/balsampier"
)

var (
	serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	zoneName    = regexp.MustCompile(`^(UTC|[A-Z][A-Za-z0-9_+-]*(/[A-Za-z0-9_+-]+){1,2})$`)
	anyCaller   = []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("::/0")}
)

// rule reads the words behind rule.
func (l *line) rule() balsampier.Rule {
	r := balsampier.Rule{Line: l.number, Comment: l.comment}
	l.service(&r)
	l.keyword("to", isAddrPort)
	if w, ok := l.next("to and a service address, such as to 198.51.100.7:443"); ok {
		r.To, r.Columns.To = l.addrPort(w), w.at()
	}
	l.keyword("from", isCaller)
	if w, ok := l.next("from and caller prefixes, such as from any"); ok {
		r.From, r.Columns.From = l.prefixes(w), w.at()
	}
	l.options(&r)
	l.finish("the rule has no comment", "end the line with # and who asked for it")
	return r
}

func (l *line) service(r *balsampier.Rule) {
	if l.peek() == "to" && len(l.words) > 1 && isAddrPort(l.words[1].text) {
		l.fail(l.words[0], "the service name is missing", "write it between rule and to")
		return
	}
	w, ok := l.next("a service name")
	if !ok {
		return
	}
	r.Service, r.Columns.Service = balsampier.ServiceName(w.text), w.at()
	if !serviceName.MatchString(w.text) {
		l.fail(w, "not a service name", "use small letters, digits and inner hyphens, at most 63")
	}
}

// options reads the windows, the zone and the class.
func (l *line) options(r *balsampier.Rule) {
	var days, class bool
	for len(l.words) > 0 {
		w, _ := l.next("")
		switch {
		case w.text == "class":
			if class {
				l.fail(w, "the class is given twice", "keep one of them")
			}
			class = true
			r.Class = l.class()
		case isZone(w.text):
			if r.Zone != "" {
				l.fail(w, "the zone is given twice", "keep one zone, behind all days and hours; write another rule for another zone")
				continue
			}
			r.Zone, r.Columns.Zone = l.zone(w), w.at()
		case isDays(w.text):
			if r.Zone != "" {
				l.fail(w, "days stand behind the zone", "move the zone behind all days and hours")
			}
			days = true
			l.windows(w, r)
		case isHours(w.text):
			l.fail(w, "the hours have no days", "write days before them, such as daily or mon-sat")
			l.hours(w, 0, r)
			days = true
		default:
			l.fail(w, "unexpected word", "write days and hours with a zone, or class urgent, or nothing")
		}
	}
	l.zoneFitsDays(r, days)
}

func (l *line) zoneFitsDays(r *balsampier.Rule, days bool) {
	if days && r.Zone == "" {
		l.fail(word{column: l.end}, "the hours have no zone", "add an IANA zone such as America/Lima behind them")
	}
	if !days && r.Zone != "" {
		l.fail(word{text: r.Zone, column: int(r.Columns.Zone)}, "the zone has no hours",
			"write days and hours before it, or delete it for a rule that always applies")
	}
}

func (l *line) class() balsampier.Class {
	if p := l.peek(); isZone(p) || isDays(p) || isHours(p) {
		l.fail(l.words[0], "the class is missing", "write urgent or normal behind class")
		return balsampier.ClassNormal
	}
	w, ok := l.next("urgent or normal behind class")
	switch {
	case !ok, w.text == "normal":
		return balsampier.ClassNormal
	case w.text == "urgent":
		return balsampier.ClassUrgent
	}
	l.fail(w, "unknown class", "write urgent or normal")
	return balsampier.ClassNormal
}

func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func (l *line) addrPort(w word) netip.AddrPort {
	a, err := netip.ParseAddrPort(w.text)
	switch {
	case err != nil || a.Port() == 0:
		l.fail(w, "not a service address", "write address:port, such as 198.51.100.7:443 or [2001:db8::7]:443")
	case a.Addr().Is4In6():
		l.fail(w, "an IPv4 address in IPv6 form", "write "+netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String())
	case a.Addr().Zone() != "":
		l.fail(w, "the service address names an interface", "delete the % and what follows it up to the bracket")
	case a.Addr().IsUnspecified(), a.Addr().IsMulticast():
		l.fail(w, "callers cannot reach this service address", "write the address of the service")
	}
	return a
}

func isCaller(s string) bool {
	return s == "any" || strings.Contains(s, "/") && s[0] < 'A' || isDigit(s)
}

func isDigit(s string) bool { return s != "" && s[0] >= '0' && s[0] <= '9' }

func (l *line) prefixes(w word) []netip.Prefix {
	var ps []netip.Prefix
	for _, p := range w.split() {
		if p.text == "any" {
			ps = append(ps, anyCaller...)
			continue
		}
		if x, ok := l.prefix(p); ok {
			ps = append(ps, x)
		}
	}
	return ps
}

func (l *line) prefix(w word) (netip.Prefix, bool) {
	p, err := netip.ParsePrefix(w.text)
	if err != nil {
		remedy := "write any, or address/bits such as 192.0.2.0/24 or 2001:db8::/32, with commas and no blanks between them"
		if a, err := netip.ParseAddr(w.text); err == nil && a.Zone() == "" {
			remedy = "write " + netip.PrefixFrom(a, a.BitLen()).String() + " for a single address"
		}
		l.fail(w, "not a caller prefix", remedy)
		return p, false
	}
	if p.Addr().Is4In6() {
		l.fail(w, "an IPv4 prefix in IPv6 form", "write it as an IPv4 prefix such as 192.0.2.0/24")
	} else if p != p.Masked() {
		l.fail(w, "the prefix has bits beyond its length", "write "+p.Masked().String())
	}
	return p, true
}

func isZone(s string) bool {
	return s == "UTC" || strings.Contains(s, "/")
}

func (l *line) zone(w word) string {
	if !zoneName.MatchString(w.text) {
		l.fail(w, "not a zone name", "use an IANA name such as America/Vancouver")
	}
	return w.text
}
