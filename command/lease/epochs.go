package lease

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// epochs determines the newest active epoch. Epoch e+1 is active once
	// every holder of a lease has acknowledged it or its lease has certainly
	// expired.
	epochs struct {
		// published is the newest committed epoch.
		published balsampier.Epoch
		// active is the newest active epoch. It never decreases and is at most
		// published.
		active balsampier.Epoch
		// minAcknowledged is the epoch that a member must have acknowledged to
		// get a lease. It is at least active, and at least the epoch with which
		// the leader started, because an earlier leader may have announced that
		// one as active.
		minAcknowledged balsampier.Epoch
		// inheritedExpiry is when all leases granted by earlier leaders have
		// certainly expired.
		inheritedExpiry time.Time
		// grants holds the leases that may still be valid at their members.
		grants map[balsampier.Holder]grantedLease
	}

	grantedLease struct {
		// acknowledged is the oldest epoch that the holder may still use.
		acknowledged balsampier.Epoch
		expiresAt    time.Time
	}
)

func newEpochs(e balsampier.Epoch, inheritedExpiry time.Time) epochs {
	return epochs{published: e, minAcknowledged: e, inheritedExpiry: inheritedExpiry, grants: make(map[balsampier.Holder]grantedLease)}
}

func (s *epochs) publish(e balsampier.Epoch) { s.published = max(s.published, e) }

func (s *epochs) grant(h balsampier.Holder, e balsampier.Epoch, until time.Time) {
	s.grants[h] = grantedLease{acknowledged: e, expiresAt: until}
}

func (s *epochs) release(h balsampier.Holder) { delete(s.grants, h) }

// advance raises the active epoch as far as the leases that are valid at time t
// allow.
func (s *epochs) advance(t time.Time) {
	if s.active == s.published || !t.After(s.inheritedExpiry) {
		return
	}
	e := s.published
	for h, g := range s.grants {
		if t.After(g.expiresAt) {
			delete(s.grants, h)
			continue
		}
		e = min(e, g.acknowledged)
	}
	s.active = max(s.active, e)
	s.minAcknowledged = max(s.minAcknowledged, s.active)
}
