package steer

import (
	"net/netip"
	"slices"

	"github.com/balsampier/balsampier"
)

const (
	// slotCount quantizes flow keys. The owner of a slot is the same whether
	// it is cached or computed, so growing past scanLimit moves no flow.
	slotCount = 1 << 14

	// scanLimit is the largest pool that is scanned for each packet; larger
	// pools cache the owner of every slot.
	scanLimit = 32

	// noOwner marks a cached slot whose owner left the pool.
	noOwner = ^uint16(0)
)

// pool is a set of agents among which each slot has one owner.
type pool struct {
	// ids are sorted, without repeats; fewer than vacant.
	ids []balsampier.InstanceID
	// targets holds what a verdict needs of each of ids, side by side.
	targets []target
	// owners holds the place in ids of each slot's owner; nil up to scanLimit.
	owners []uint16
}

// target is an agent as it stands in verdicts.
type target struct {
	holder  balsampier.Holder
	addr    netip.AddrPort
	service balsampier.ServiceName
}

// newPool returns an empty pool with room for a little more than the old one.
func newPool(old *pool) *pool {
	if old == nil {
		return &pool{}
	}
	n := len(old.ids) + 1
	return &pool{ids: make([]balsampier.InstanceID, 0, n), targets: make([]target, 0, n)}
}

// add adds a member, in the order of IDs.
func (p *pool) add(m *balsampier.Member) {
	p.ids = append(p.ids, m.ID)
	p.targets = append(p.targets, target{holder: m.Holder(), addr: m.Addr, service: m.Service})
}

// slotOf returns the slot of a key.
func slotOf(k balsampier.FlowKey) uint64 { return k.Lo & (slotCount - 1) }

// owner returns the owner of slot s; nil without one.
func (p *pool) owner(s uint64) *target {
	if p == nil || len(p.targets) == 0 {
		return nil
	}
	if p.owners != nil {
		return &p.targets[p.owners[s]]
	}
	best, top := &p.targets[0], uint64(0)
	for i := range p.targets {
		if x := score(p.targets[i].holder.Instance, s); x > top {
			best, top = &p.targets[i], x
		}
	}
	return best
}

// cacheOwners caches the owners of a large pool. The old pool, where it has a cache,
// saves all slots but those that changed hands.
func (p *pool) cacheOwners(old *pool) {
	if len(p.ids) <= scanLimit {
		return
	}
	if old == nil || old.owners == nil {
		p.owners = make([]uint16, slotCount)
		for s := range p.owners {
			p.owners[s] = uint16(highestScorer(p.ids, uint64(s)))
		}
		return
	}
	if slices.Equal(p.ids, old.ids) {
		p.owners = old.owners
		return
	}
	p.deriveOwners(old)
}

// deriveOwners derives the cache from that of the old pool.
func (p *pool) deriveOwners(old *pool) {
	moved, added := p.diff(old)
	p.owners = make([]uint16, slotCount)
	for s := range p.owners {
		o := moved[old.owners[s]]
		if o == noOwner {
			p.owners[s] = uint16(highestScorer(p.ids, uint64(s)))
			continue
		}
		best, top := o, score(p.ids[o], uint64(s))
		for _, a := range added {
			if x := score(p.ids[a], uint64(s)); x > top {
				best, top = a, x
			}
		}
		p.owners[s] = best
	}
}

// diff returns the new place of each old agent, and the places of new agents.
func (p *pool) diff(old *pool) (moved, added []uint16) {
	moved = make([]uint16, len(old.ids))
	i := 0
	for j, id := range p.ids {
		for i < len(old.ids) && old.ids[i] < id {
			moved[i] = noOwner
			i++
		}
		if i < len(old.ids) && old.ids[i] == id {
			moved[i] = uint16(j)
			i++
			continue
		}
		added = append(added, uint16(j))
	}
	for ; i < len(old.ids); i++ {
		moved[i] = noOwner
	}
	return moved, added
}

// highestScorer returns the place of the agent with the highest score for the slot.
func highestScorer(ids []balsampier.InstanceID, s uint64) int {
	best, top := 0, uint64(0)
	for i, id := range ids {
		if x := score(id, s); x > top {
			best, top = i, x
		}
	}
	return best
}

// score mixes an agent and a slot by the finalizer of SplitMix64. It is one
// to one in the agent, so that scores of a slot never tie.
func score(i balsampier.InstanceID, s uint64) uint64 {
	x := uint64(i) + s*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
