package members

import "github.com/balsampier/balsampier"

// addRulesPart moves the next part of the pending rules into m and returns its
// size in bytes.
func (p *Publisher) addRulesPart(m *Message) int {
	d := *p.rules
	n := p.sizes.File(balsampier.RuleFile{})
	if k := max(p.maxMessageSize()-p.sizes.Message-n, 1); k < len(d.Insert) {
		m.Rules = &RulesPart{Delta: d, More: true}
		m.Rules.Delta.Insert = d.Insert[:k]
		m.Rules.Delta.File = balsampier.RuleFile{Revision: d.File.Revision}
		p.rules.Insert = d.Insert[k:]
		return n + k
	}
	m.Rules = &RulesPart{Delta: d}
	p.rules = nil
	return p.sizes.File(d.File) + len(d.Insert)
}

// addViewPart moves the next part of the pending view into m and returns its
// size in bytes.
func (p *Publisher) addViewPart(m *Message) int {
	maxSize := p.maxMessageSize() - p.sizes.Message
	d := Delta{From: p.view.From, To: p.view.To}
	n, i := 0, 0
	for i < len(p.view.Removed) && n+p.sizes.Removed <= maxSize {
		n += p.sizes.Removed
		i++
	}
	d.Removed, p.view.Removed = p.view.Removed[:i], p.view.Removed[i:]
	i = 0
	for i < len(p.view.Changed) && len(p.view.Removed) == 0 {
		k := p.sizes.Member(p.view.Changed[i])
		if n > 0 && n+k > maxSize {
			break
		}
		n += k
		i++
	}
	d.Changed, p.view.Changed = p.view.Changed[:i], p.view.Changed[i:]
	m.View = &ViewPart{Delta: d, More: len(p.view.Changed)+len(p.view.Removed) > 0}
	if !m.View.More {
		p.view = nil
	}
	return n
}

// pendingRulesSize returns the size in bytes of the pending rules.
func (p *Publisher) pendingRulesSize() int { return p.sizes.File(p.rules.File) + len(p.rules.Insert) }

// pendingViewSize returns the size in bytes of the pending view. It stops
// counting above the budget.
func (p *Publisher) pendingViewSize() int {
	n := len(p.view.Removed) * p.sizes.Removed
	for _, m := range p.view.Changed {
		n += p.sizes.Member(m)
		if n > p.budget {
			break
		}
	}
	return n
}

// Assembler joins the parts in a watch stream into whole deltas, so that a
// watcher never applies part of a view or rule file.
type Assembler struct {
	// rules and view hold the parts received so far; nil before the first one.
	rules *RulesDelta
	view  *Delta
}

// AddRules adds a part. After the last one it returns the whole delta, and ok
// is true.
func (a *Assembler) AddRules(r RulesPart) (d RulesDelta, ok bool) {
	if a.rules == nil || a.rules.File.Revision != r.Delta.File.Revision {
		a.rules = &RulesDelta{}
	}
	r.Delta.Insert = a.rules.Insert + r.Delta.Insert
	*a.rules = r.Delta
	if r.More {
		return d, false
	}
	d, a.rules = *a.rules, nil
	return d, true
}

// AddView adds a part. After the last one it returns the whole delta, and ok is
// true.
func (a *Assembler) AddView(v ViewPart) (d Delta, ok bool) {
	if a.view == nil || a.view.From != v.Delta.From || a.view.To != v.Delta.To {
		a.view = &Delta{From: v.Delta.From, To: v.Delta.To}
	}
	a.view.Changed = append(a.view.Changed, v.Delta.Changed...)
	a.view.Removed = append(a.view.Removed, v.Delta.Removed...)
	if v.More {
		return d, false
	}
	d, a.view = *a.view, nil
	return d, true
}
