package app

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/peer"
)

// Put implements balsampier.DocumentCommands. Every instance accepts a document
// that is already committed, or that is older than a committed one.
func (t *Control) Put(c context.Context, d balsampier.Document) error {
	c, cancel := context.WithTimeout(c, submitTimeout)
	defer cancel()
	err := t.put(c, d)
	e := t.log.Info()
	if balsampier.KindOf(err) == balsampier.KindNotLeader {
		e = t.log.Debug()
	}
	e.Uint64("version", uint64(d.Version)).Int("bytes", len(d.Text)).Uint64("held", uint64(t.published.Load().rules.Revision)).
		Uint64("term", uint64(t.status.Load().Term)).Err(err).Msg("document")
	return countRefusal(err)
}

func (t *Control) put(c context.Context, d balsampier.Document) error {
	current := t.published.Load().rules
	switch {
	case d.Version < current.Revision, d.Version == current.Revision && d.Text == current.Text:
		return nil
	case d.Version == current.Revision:
		return errDocumentConflict(d.Version)
	case t.status.Load().Role != replicate.RoleLeader:
		return errNotLeader()
	}
	e, err := peer.EncodeSubmission(balsampier.Submission{Version: d.Version, Text: d.Text, At: t.clock.Now()})
	if err != nil {
		return err
	}
	a, err := t.propose(c, e, 0)
	if err == nil && !a.Accepted {
		return errDocumentConflict(d.Version)
	}
	return err
}

// Newest implements balsampier.DocumentQueries.
func (t *Control) Newest(c context.Context) (balsampier.Document, error) {
	f, err := t.Rules(c)
	if err == nil && f.Revision == 0 {
		err = balsampier.NewError(balsampier.KindUnavailable, "read document", "send a first document", nil)
	}
	t.log.Debug().Uint64("version", uint64(f.Revision)).Err(err).Msg("document read")
	return balsampier.Document{Version: f.Revision, Text: f.Text}, err
}

// Leader implements balsampier.DocumentQueries: it returns the operator address
// of the leader, or false if there is none or if it is this instance.
func (t *Control) Leader() (netip.AddrPort, bool) {
	l := t.status.Load().Leader.Instance
	if l == 0 || l == t.self {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(l.Addr().Addr(), t.instanceSettings.OperatorAddr.Port()), true
}

// renewOwnLease is the thread that keeps this instance in the view, so that
// members find it.
func (t *Control) renewOwnLease(c context.Context) error {
	m := balsampier.Member{
		ID: t.self, Name: t.instanceSettings.Name, Role: balsampier.RoleControl, Incarnation: balsampier.NewIncarnation(t.clock.Now()),
		DataCentre: t.instanceSettings.DataCentre, PeerAddr: t.instanceSettings.PeerAddr,
	}
	for c.Err() == nil {
		x, cancel := context.WithTimeout(c, confirmTimeout)
		p := t.published.Load()
		_, err := t.Renew(x, balsampier.Renewal{Member: m, AppliedRevision: p.rules.Revision, AcknowledgedEpoch: p.view.Epoch})
		cancel()
		if err != nil && c.Err() == nil {
			t.log.Debug().Err(err).Msg("lease not renewed")
		}
		if balsampier.KindOf(err) == balsampier.KindConflict {
			m.Incarnation = m.Incarnation.Later()
		}
		t.sleep(c, lease.RenewInterval)
	}
	return c.Err()
}

// Reload applies the seeds of reloaded settings. An empty list is ignored.
func (t *Control) Reload(s Settings) {
	ids := t.seedIDs(s.Seeds)
	if len(ids) == 0 {
		return
	}
	if err := t.inputs.Push(context.Background(), input{kind: inputSeeds, seeds: ids}); err != nil {
		t.log.Warn().Err(err).Msg("failed to apply the reloaded seeds")
		return
	}
	t.seeds.Store(&ids)
	t.log.Info().Str("seeds", fmt.Sprint(s.Seeds)).Msg("seeds reloaded")
}

func errDocumentConflict(v balsampier.Revision) error {
	return balsampier.NewError(balsampier.KindConflict, fmt.Sprintf("accept document %d", v), "send it with a higher version; this version has other content", nil)
}
