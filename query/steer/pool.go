package steer

import (
	"net/netip"
	"slices"

	"github.com/balsampier/balsampier"
)

const (
	// slotCount is the number of hash slots into which flow keys are divided. A
	// slot's owner is the same whether it is cached or computed, so growing
	// past scanLimit moves no flow.
	slotCount = 1 << 14

	// scanLimit is the largest pool whose members are scored for each packet;
	// larger pools cache the owner of every slot.
	scanLimit = 32

	// noOwner marks a cached slot whose owner has left the pool.
	noOwner = ^uint16(0)
)

// pool is a set of agents that divides the hash slots among its members by
// rendezvous hashing.
type pool struct {
	// ids are sorted, without duplicates; fewer than noOwner.
	ids []balsampier.InstanceID
	// targets holds the verdict fields of each agent in ids, at the same index.
	targets []target
	// owners holds, for each slot, the index of its owner in ids; nil for pools
	// of up to scanLimit agents.
	owners []uint16
}

// target holds the fields of an agent that verdicts contain.
type target struct {
	holder  balsampier.Holder
	addr    netip.AddrPort
	service balsampier.ServiceName
}

// newPool returns an empty pool with capacity for one member more than old.
func newPool(old *pool) *pool {
	if old == nil {
		return &pool{}
	}
	n := len(old.ids) + 1
	return &pool{ids: make([]balsampier.InstanceID, 0, n), targets: make([]target, 0, n)}
}

// add appends a member. Members must be added in ascending order of ID.
func (p *pool) add(m *balsampier.Member) {
	p.ids = append(p.ids, m.ID)
	p.targets = append(p.targets, target{holder: m.Holder(), addr: m.Addr, service: m.Service})
}

// slotOf returns the hash slot of a flow key.
func slotOf(k balsampier.FlowKey) uint64 { return k.Lo & (slotCount - 1) }

// owner returns the owner of slot s, or nil if the pool is empty.
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

// cacheOwners caches the slot owners of a large pool. If old has a cache, only
// the slots whose owner changed are recomputed.
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

// deriveOwners builds the cache from that of the old pool.
func (p *pool) deriveOwners(old *pool) {
	newIndexes, added := p.diff(old)
	p.owners = make([]uint16, slotCount)
	for s := range p.owners {
		o := newIndexes[old.owners[s]]
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

// diff returns the new index of each agent in old, or noOwner if it left, and
// the indexes of the added agents.
func (p *pool) diff(old *pool) (newIndexes, added []uint16) {
	newIndexes = make([]uint16, len(old.ids))
	i := 0
	for j, id := range p.ids {
		for i < len(old.ids) && old.ids[i] < id {
			newIndexes[i] = noOwner
			i++
		}
		if i < len(old.ids) && old.ids[i] == id {
			newIndexes[i] = uint16(j)
			i++
			continue
		}
		added = append(added, uint16(j))
	}
	for ; i < len(old.ids); i++ {
		newIndexes[i] = noOwner
	}
	return newIndexes, added
}

// highestScorer returns the index of the agent with the highest score for the
// slot.
func highestScorer(ids []balsampier.InstanceID, s uint64) int {
	best, top := 0, uint64(0)
	for i, id := range ids {
		if x := score(id, s); x > top {
			best, top = i, x
		}
	}
	return best
}

// score hashes an agent and a slot with the finalizer of SplitMix64. For a
// given slot it is a bijection on agents, so two agents never tie.
func score(i balsampier.InstanceID, s uint64) uint64 {
	x := uint64(i) + s*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
