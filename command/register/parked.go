package register

import (
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// Parked holds packets that wait for a registration of their flow. Packets
	// are named by a number, so that their bytes stay with the caller.
	Parked struct {
		limit int
		wait  time.Duration
		// queue is in the order of arrival.
		queue []Waiting
	}

	// Waiting is one packet that waits.
	Waiting struct {
		// Packet is the packet.
		Packet balsampier.Packet
		// Number names the packet's bytes at the caller.
		Number uint64
		// Until is when the packet is taken out without a registration.
		Until time.Time
	}
)

const (
	// ParkLimit bounds the packets that wait.
	ParkLimit = 1024
	// ParkWait bounds how long a packet waits.
	ParkWait = 50 * time.Millisecond
)

// NewParked returns an empty buffer.
func NewParked() *Parked { return &Parked{limit: ParkLimit, wait: ParkWait} }

// Add parks a packet; false means that the buffer is full.
func (p *Parked) Add(k balsampier.Packet, n uint64, t time.Time) bool {
	if len(p.queue) >= p.limit {
		return false
	}
	p.queue = append(p.queue, Waiting{Packet: k, Number: n, Until: t.Add(p.wait)})
	return true
}

// Found takes out the packets for which f is true.
func (p *Parked) Found(f func(balsampier.FlowKey) bool) []Waiting {
	var out []Waiting
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

// Overdue takes out the packets that waited long enough.
func (p *Parked) Overdue(t time.Time) []Waiting {
	n := 0
	for n < len(p.queue) && !t.Before(p.queue[n].Until) {
		n++
	}
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	return out
}

// Next returns when a packet is overdue next; false when none waits.
func (p *Parked) Next() (time.Time, bool) {
	if len(p.queue) == 0 {
		return time.Time{}, false
	}
	return p.queue[0].Until, true
}
