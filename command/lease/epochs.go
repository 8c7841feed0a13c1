package lease

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// epochs finds the newest active epoch. Epoch e+1 is active once every
	// holder of a lease has acknowledged it or its lease has surely run out.
	epochs struct {
		// published is the newest committed epoch.
		published balsampier.Epoch
		// active never falls and is at most published.
		active balsampier.Epoch
		// floor is what a member must have acknowledged to get a lease. It is
		// at least active, and at least the epoch that the leader started
		// with, as an earlier leader may have announced that one as active.
		floor balsampier.Epoch
		// inherited is when all leases of earlier leaders have surely run
		// out.
		inherited time.Time
		// granted holds the leases that may be valid at their members.
		granted map[balsampier.Holder]granted
	}

	granted struct {
		// acknowledged is the oldest epoch that the holder may still use.
		acknowledged balsampier.Epoch
		expires      time.Time
	}
)

func newEpochs(e balsampier.Epoch, inherited time.Time) epochs {
	return epochs{published: e, floor: e, inherited: inherited, granted: make(map[balsampier.Holder]granted)}
}

func (s *epochs) publish(e balsampier.Epoch) { s.published = max(s.published, e) }

func (s *epochs) grant(h balsampier.Holder, e balsampier.Epoch, until time.Time) {
	s.granted[h] = granted{acknowledged: e, expires: until}
}

func (s *epochs) release(h balsampier.Holder) { delete(s.granted, h) }

// advance raises the active epoch as far as the leases at time t allow.
func (s *epochs) advance(t time.Time) {
	if s.active == s.published || !t.After(s.inherited) {
		return
	}
	e := s.published
	for h, g := range s.granted {
		if t.After(g.expires) {
			delete(s.granted, h)
			continue
		}
		e = min(e, g.acknowledged)
	}
	s.active = max(s.active, e)
	s.floor = max(s.floor, s.active)
}
