package replicate

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// progress is a leader's view of the replication to one other replica.
	progress struct {
		// match is the highest index known to be durable on the replica.
		match balsampier.Index
		// next is the index of the next entry to send; always above match.
		next balsampier.Index
		// probing is true until the replica has acknowledged an append. Until
		// then only one append is in flight.
		probing bool
		// awaitsResponse is true while a probe or snapshot is in flight.
		awaitsResponse bool
		// lastHeard is when the last response of the replica arrived, or when
		// this node began to track it.
		lastHeard time.Time
		// silentSince is lastHeard, or for a leader before this one when its
		// last message arrived.
		silentSince time.Time
		// confirmedRead is the sequence number of the newest read that the
		// replica has confirmed.
		confirmedRead uint64
	}
)

// tickLeader sends heartbeats and maintains the replica set. A leader that has
// not heard from a quorum within ElectionTimeout steps down, as its lease has
// expired.
func (n *Node) tickLeader() {
	if !n.isQuorumActive() {
		n.becomeFollower(n.hard.Term)
		return
	}
	if !n.transfer.to.IsZero() && !n.now.Before(n.transfer.deadline) {
		n.transfer = leaderTransfer{}
	}
	if n.now.Before(n.heartbeatDue) {
		return
	}
	n.heartbeatDue = n.now.Add(n.g.HeartbeatInterval)
	n.promoteLearner()
	if n.g.OpenMembership {
		n.removeLostReplica()
	}
	for _, r := range n.otherReplicas() {
		p := n.peers[r]
		p.awaitsResponse = false
		if !n.sendEntries(r, p) {
			n.sendHeartbeat(r, p)
		}
	}
}

func (n *Node) isQuorumActive() bool {
	k := 0
	for _, r := range n.set.Voters {
		p, ok := n.peers[r]
		if r == n.id || (ok && n.now.Sub(p.lastHeard) < n.g.ElectionTimeout) {
			k++
		}
	}
	return k >= n.set.Quorum()
}

// updatePeers matches the tracked peers to the current replica set.
func (n *Node) updatePeers() {
	for r := range n.peers {
		if !n.set.Has(r) {
			delete(n.peers, r)
		}
	}
	for _, r := range n.otherReplicas() {
		if _, ok := n.peers[r]; !ok {
			n.peers[r] = &progress{next: n.log.lastIndex() + 1, probing: true, lastHeard: n.now, silentSince: n.now}
		}
	}
}

// otherReplicas returns the other replicas of the set whose disk is known.
func (n *Node) otherReplicas() []balsampier.Replica {
	rs := slices.Concat(n.set.Voters, n.set.Learners)
	return slices.DeleteFunc(rs, func(r balsampier.Replica) bool { return r == n.id || r.Disk == 0 })
}

// sendPending sends entries to each replica until its window of in-flight
// entries is full, and heartbeats for new reads.
func (n *Node) sendPending() {
	if n.role != RoleLeader {
		return
	}
	for _, r := range n.otherReplicas() {
		p := n.peers[r]
		for n.sendEntries(r, p) {
			continue
		}
		if n.reads.unsent {
			n.sendHeartbeat(r, p)
		}
	}
	n.reads.unsent = false
}

// sendEntries sends one append or snapshot to r and reports whether it did. It
// sends nothing if r is up to date, its window is full or a probe is in flight.
func (n *Node) sendEntries(r balsampier.Replica, p *progress) bool {
	switch {
	case p.awaitsResponse || p.next > n.log.lastIndex():
		return false
	case !p.probing && p.next-p.match > balsampier.Index(n.g.MaxInflight):
		return false
	}
	if p.next <= n.log.base {
		p.awaitsResponse, p.probing = true, true
		n.send(Message{Kind: MessageInstallSnapshot, To: r, Snapshot: n.log.snapshot, ReadSeq: n.reads.seq})
		return true
	}
	es := n.log.batch(p.next, n.g.MaxBatchEntries, n.g.MaxBatchBytes)
	n.sendAppend(r, p, es)
	if p.probing {
		p.awaitsResponse = true
	} else {
		p.next += balsampier.Index(len(es))
	}
	return true
}

// sendHeartbeat sends an empty append. It is rejected if an earlier append was
// lost, which makes the leader send that again.
func (n *Node) sendHeartbeat(r balsampier.Replica, p *progress) {
	if p.next <= n.log.base {
		p = &progress{next: n.log.base + 1}
	}
	n.sendAppend(r, p, nil)
}

func (n *Node) sendAppend(r balsampier.Replica, p *progress, es []balsampier.Entry) {
	t, _ := n.log.termAt(p.next - 1)
	n.send(Message{
		Kind: MessageAppend, To: r, Index: p.next - 1, LogTerm: t,
		Entries: es, Commit: n.commit, ReadSeq: n.reads.seq,
	})
}

// handleAppend handles an append or a snapshot of the leader of the current
// term.
func (n *Node) handleAppend(m Message) {
	if n.role == RoleLeader {
		return
	}
	if n.role != RoleFollower {
		n.becomeFollower(m.Term)
	}
	n.leader, n.lastLeader, n.leaderHeard = m.From, m.From, n.now
	n.resetElectionTimeout()
	a := Message{Kind: MessageAppendResponse, To: m.From, ReadSeq: m.ReadSeq}
	if m.Kind == MessageInstallSnapshot {
		if m.Snapshot.Index > n.commit {
			n.installSnapshot(m.Snapshot)
		}
		a.Index = min(m.Snapshot.Index, n.log.lastIndex())
	} else {
		n.storeEntries(m, &a)
	}
	n.send(a)
}

// storeEntries adds the entries of m if the log matches at m.Index, and fills
// in the response a. Otherwise a is a rejection with a hint. Committed entries
// are never overwritten.
func (n *Node) storeEntries(m Message, a *Message) {
	if m.Index < n.commit {
		k := min(balsampier.Index(len(m.Entries)), n.commit-m.Index)
		if k < n.commit-m.Index {
			a.Index = n.commit
			return
		}
		m.Entries, m.Index = m.Entries[k:], n.commit
		m.LogTerm, _ = n.log.termAt(n.commit)
	}
	if t, ok := n.log.termAt(m.Index); !ok || t != m.LogTerm {
		a.Reject, a.Index = true, m.Index
		a.Hint, a.LogTerm = n.backtrack(min(m.Index, n.log.lastIndex()), m.LogTerm)
		return
	}
	last := m.Index + balsampier.Index(len(m.Entries))
	for i, e := range m.Entries {
		if t, ok := n.log.termAt(e.Index); !ok || t != e.Term {
			n.log.overwriteFrom(m.Entries[i:])
			n.out.markEntriesChanged(e.Index)
			n.updateSet()
			break
		}
	}
	a.Index = last
	n.commitTo(min(m.Commit, last))
}

// backtrack returns the highest index at or below i whose term is at most t,
// and that term. It stops at the base of the log.
func (n *Node) backtrack(i balsampier.Index, t balsampier.Term) (balsampier.Index, balsampier.Term) {
	for {
		own, ok := n.log.termAt(i)
		if !ok || own <= t || i <= n.log.base {
			return i, own
		}
		i--
	}
}

// handleAppendResponse handles the response to an append or snapshot, including
// the node's own once its entries are durable.
func (n *Node) handleAppendResponse(m Message) {
	if n.role != RoleLeader {
		return
	}
	if m.From == n.id {
		n.durableIndex = max(n.durableIndex, m.Index)
		n.advanceCommit()
		return
	}
	p, ok := n.peers[m.From]
	if !ok {
		return
	}
	p.lastHeard, p.silentSince = n.now, n.now
	p.confirmedRead, p.awaitsResponse = max(p.confirmedRead, m.ReadSeq), false
	n.confirmReads()
	if m.Reject {
		if m.Index > p.match {
			i, _ := n.backtrack(min(m.Hint, n.log.lastIndex()), m.LogTerm)
			p.next, p.probing = max(p.match+1, min(m.Index, i+1)), true
		}
		return
	}
	p.probing = false
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	n.requestTransfer()
}

// advanceCommit commits the entries that are durable on a quorum, up to the
// last one of the current term. A leader that is no longer a voter in the
// committed set steps down.
func (n *Node) advanceCommit() {
	ms := make([]balsampier.Index, 0, len(n.set.Voters))
	for _, r := range n.set.Voters {
		switch p, ok := n.peers[r]; {
		case r == n.id:
			ms = append(ms, n.durableIndex)
		case ok:
			ms = append(ms, p.match)
		default:
			ms = append(ms, 0)
		}
	}
	slices.SortFunc(ms, func(a, b balsampier.Index) int { return cmp.Compare(b, a) })
	i := ms[n.set.Quorum()-1]
	if t, ok := n.log.termAt(i); !ok || t != n.hard.Term || i <= n.commit {
		return
	}
	n.commitTo(i)
	n.startReads()
	if n.setIndex <= n.commit && !n.set.HasVoter(n.id) {
		n.becomeFollower(n.hard.Term)
	}
}

func (n *Node) commitTo(i balsampier.Index) { n.commit = max(n.commit, i) }

// installSnapshot replaces the log by s. If the log already holds the entry
// that s ends with, it only advances the commit index and keeps the entries.
func (n *Node) installSnapshot(s balsampier.Snapshot) {
	if t, ok := n.log.termAt(s.Index); ok && t == s.Term && s.Index > n.log.base {
		n.commitTo(s.Index)
		return
	}
	n.log.reset(s)
	n.commit, n.applied = s.Index, s.Index
	n.updateSet()
	n.out.markSnapshotInstalled(s)
}
