package watching

import (
	"context"
	"sync"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/control"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/query/members"
)

// loadBudget lets snapshots through faster than the budget of a daemon does.
const loadBudget = 8 << 20

// handler stands in for a control instance: it grants all leases and publishes
// one view and one rule file.
type handler struct {
	clock balsampier.Clock
	rules balsampier.RuleFile

	mu sync.Mutex
	// history and changed are guarded by mu; changed is closed by the next
	// change.
	history *members.History
	changed chan struct{}
}

var _ peer.ControlHandler = (*handler)(nil)

func newHandler(k balsampier.Clock, agents int, seed uint64) (*handler, error) {
	v, f, err := control.NewFleet(agents, seed)
	if err != nil {
		return nil, err
	}
	return &handler{clock: k, rules: f, history: members.NewHistory(v), changed: make(chan struct{})}, nil
}

// Renew implements peer.ControlHandler.
func (h *handler) Renew(context.Context, balsampier.Renewal) (balsampier.Lease, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return balsampier.Lease{TTL: time.Minute, Epoch: h.history.View().Epoch}, nil
}

// Leave implements peer.ControlHandler.
func (h *handler) Leave(context.Context, balsampier.Holder) error { return nil }

// Watch implements peer.ControlHandler.
func (h *handler) Watch(c context.Context, w balsampier.WatchRequest, send func(balsampier.WatchMessage) error) error {
	p := members.NewPublisher(members.InterestOf(w.Member, false), peer.Sizes(), loadBudget, w.Position, h.clock.Now())
	for {
		m, wait, changed, ok := h.next(p)
		if ok {
			if err := send(m); err != nil {
				return err
			}
			continue
		}
		t := h.clock.NewTimer(wait)
		select {
		case <-t.C():
		case <-changed:
		case <-c.Done():
			t.Stop()
			return c.Err()
		}
		t.Stop()
	}
}

func (h *handler) next(p *members.Publisher) (m balsampier.WatchMessage, wait time.Duration, changed chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, wait, ok = p.Next(members.Source{Rules: h.rules, History: h.history, Confirmed: true}, h.clock.Now())
	return m, wait, h.changed, ok
}

// change restarts the n-th agent.
func (h *handler) change(n int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.history.View()
	m := agent(v, n)
	m.Incarnation++
	next, err := members.Apply(v, balsampier.ViewDelta{From: v.Epoch, To: v.Epoch + 1, Changed: []balsampier.Member{m}})
	if err != nil {
		return err
	}
	h.history.Add(next)
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}

// agent returns the n-th agent of the view, from the start again at its end.
func agent(v balsampier.View, n int) balsampier.Member {
	for i := range v.Members {
		m := v.Members[(n+i)%len(v.Members)]
		if m.Role == balsampier.RoleAgent {
			return m
		}
	}
	return balsampier.Member{}
}
