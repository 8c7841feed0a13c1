package control

import (
	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer"
)

// NewDocumentSession returns a session that finds control through seeds and
// follows numbered documents. It fills in the client, the instances and the
// seeds of o; the caller sets the remaining options. The error is of
// KindInvalid if there are no seeds.
func NewDocumentSession(o Options, k peer.Key, s *Seeds) (*Session, error) {
	as := s.PeerAddrs()
	if len(as) == 0 {
		return nil, balsampier.NewError(balsampier.KindInvalid, "find control", "list seeds in the settings", nil)
	}
	l := peer.NewControlClient(k, as, o.Random)
	o.Client, o.InstanceCount, o.UsesDocuments = l, len(as), true
	o.Seeds, o.SetInstances = s.PeerAddrs, l.SetInstances
	return NewSession(o)
}
