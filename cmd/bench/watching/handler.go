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

// publishBudget is the rate of a watch stream in bytes a second. It exceeds
// members.DefaultBudget, so that a snapshot arrives sooner.
const publishBudget = 8 << 20

// controlHandler is a fake control instance: it grants every lease and
// publishes one view and one rule file.
type controlHandler struct {
	clock balsampier.Clock
	rules balsampier.RuleFile

	mu sync.Mutex
	// history and changed are guarded by mu. The next change closes changed and
	// replaces it.
	history *members.History
	changed chan struct{}
}

var _ peer.ControlHandler = (*controlHandler)(nil)

func newHandler(k balsampier.Clock, agents int, seed uint64) (*controlHandler, error) {
	v, f, err := control.NewFleet(agents, seed)
	if err != nil {
		return nil, err
	}
	return &controlHandler{clock: k, rules: f, history: members.NewHistory(v), changed: make(chan struct{})}, nil
}

// Renew implements peer.ControlHandler.
func (h *controlHandler) Renew(context.Context, balsampier.Renewal) (balsampier.Lease, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return balsampier.Lease{TTL: time.Minute, Epoch: h.history.View().Epoch}, nil
}

// Leave implements peer.ControlHandler.
func (h *controlHandler) Leave(context.Context, balsampier.Holder) error { return nil }

// Watch implements peer.ControlHandler.
func (h *controlHandler) Watch(c context.Context, w balsampier.WatchRequest, send func(balsampier.WatchMessage) error) error {
	p := members.NewPublisher(members.InterestOf(w.Member, false), peer.Sizes(), publishBudget, w.Position, h.clock.Now())
	for {
		m, wait, changed, ok := h.nextMessage(p)
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

// nextMessage returns the next message of p if one is due. Otherwise it returns
// how long to wait, and a channel that the next change closes.
func (h *controlHandler) nextMessage(p *members.Publisher) (m balsampier.WatchMessage, wait time.Duration, changed chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, wait, ok = p.Next(members.Source{Rules: h.rules, History: h.history, Confirmed: true}, h.clock.Now())
	return m, wait, h.changed, ok
}

// publishRestart publishes a view in which agentAt n has a new incarnation.
func (h *controlHandler) publishRestart(n int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.history.View()
	m := agentAt(v, n)
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

// agentAt returns the first agent at or after position n of the view's members,
// wrapping around at their end. It returns a zero Member if there is none.
func agentAt(v balsampier.View, n int) balsampier.Member {
	for i := range v.Members {
		m := v.Members[(n+i)%len(v.Members)]
		if m.Role == balsampier.RoleAgent {
			return m
		}
	}
	return balsampier.Member{}
}
