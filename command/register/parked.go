package register

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// ParkedQueue holds packets that wait for a registration of their flow. Packets
	// are named by a number, so that their bytes stay with the caller.
	ParkedQueue struct {
		limit int
		wait  time.Duration
		// queue is in the order of arrival.
		queue []ParkedPacket
	}

	// ParkedPacket is one packet that waits.
	ParkedPacket struct {
		// Packet is the packet.
		Packet balsampier.Packet
		// Number names the packet's bytes at the caller.
		Number uint64
		// Deadline is when the packet is taken out without a registration.
		Deadline time.Time
	}
)

const (
	// MaxParked bounds the packets that wait.
	MaxParked = 1024
	// ParkTimeout bounds how long a packet waits.
	ParkTimeout = 50 * time.Millisecond
)

// NewParkedQueue returns an empty buffer.
func NewParkedQueue() *ParkedQueue { return &ParkedQueue{limit: MaxParked, wait: ParkTimeout} }

// Add parks a packet; false means that the buffer is full.
func (p *ParkedQueue) Add(k balsampier.Packet, n uint64, t time.Time) bool {
	if len(p.queue) >= p.limit {
		return false
	}
	p.queue = append(p.queue, ParkedPacket{Packet: k, Number: n, Deadline: t.Add(p.wait)})
	return true
}

// RemoveMatching takes out the packets for which f is true.
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

// RemoveExpired takes out the packets that waited long enough.
func (p *ParkedQueue) RemoveExpired(t time.Time) []ParkedPacket {
	n := 0
	for n < len(p.queue) && !t.Before(p.queue[n].Deadline) {
		n++
	}
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	return out
}

// Next returns when a packet is overdue next; false when none waits.
func (p *ParkedQueue) Next() (time.Time, bool) {
	if len(p.queue) == 0 {
		return time.Time{}, false
	}
	return p.queue[0].Deadline, true
}
