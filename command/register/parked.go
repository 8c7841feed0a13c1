package register

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// ParkedQueue holds packets that wait until their flow is registered. It
	// stores a number in place of a packet's bytes, which stay with the caller.
	ParkedQueue struct {
		limit       int
		parkTimeout time.Duration
		// queue is sorted by arrival, and thus by deadline.
		queue []ParkedPacket
	}

	// ParkedPacket is a packet in a ParkedQueue.
	ParkedPacket struct {
		// Packet is the decoded packet.
		Packet balsampier.Packet
		// Number identifies the packet's bytes at the caller.
		Number uint64
		// Deadline is when the packet is removed even if its flow was not
		// registered.
		Deadline time.Time
	}
)

const (
	// MaxParked is the maximum number of packets in a ParkedQueue.
	MaxParked = 1024
	// ParkTimeout is the longest time that a packet stays in a ParkedQueue.
	ParkTimeout = 50 * time.Millisecond
)

// NewParkedQueue returns an empty queue with the default limits.
func NewParkedQueue() *ParkedQueue { return &ParkedQueue{limit: MaxParked, parkTimeout: ParkTimeout} }

// Add parks a packet at time t. It returns false if the queue is full.
func (p *ParkedQueue) Add(k balsampier.Packet, n uint64, t time.Time) bool {
	if len(p.queue) >= p.limit {
		return false
	}
	p.queue = append(p.queue, ParkedPacket{Packet: k, Number: n, Deadline: t.Add(p.parkTimeout)})
	return true
}

// RemoveMatching removes and returns the packets for whose flow f returns true.
func (p *ParkedQueue) RemoveMatching(f func(balsampier.FlowKey) bool) []ParkedPacket {
	var out []ParkedPacket
	kept := p.queue[:0]
	for _, w := range p.queue {
		if f(w.Packet.Flow) {
			out = append(out, w)
			continue
		}
		kept = append(kept, w)
	}
	p.queue = kept
	return out
}

// RemoveExpired removes and returns the packets whose deadline has passed at t.
func (p *ParkedQueue) RemoveExpired(t time.Time) []ParkedPacket {
	n := 0
	for n < len(p.queue) && !t.Before(p.queue[n].Deadline) {
		n++
	}
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	return out
}

// Next returns the earliest deadline; false if the queue is empty.
func (p *ParkedQueue) Next() (time.Time, bool) {
	if len(p.queue) == 0 {
		return time.Time{}, false
	}
	return p.queue[0].Deadline, true
}
