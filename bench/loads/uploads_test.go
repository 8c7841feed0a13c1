package loads_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

const (
	// uploadPackets packets of uploadPacketBytes make an upload of 80 KB.
	uploadPackets     = 67
	uploadPacketBytes = 1200
	// uploadWindow is how many packets are in flight.
	uploadWindow   = 16
	uploadDeadline = 10 * time.Second
)

// upload is one request of many packets, on a flow of its own.
type upload struct {
	startedAt, servedAt time.Time
	tries               int
}

// uploadFlow is what the client of an upload knows of one of its flows.
type uploadFlow struct {
	acked [uploadPackets]bool
	// next is the first packet that was not sent yet, left how many are not
	// acknowledged.
	next, left int
}

// addUploads starts perSecond uploads for d, from clients of all zones.
func (f *fleet) addUploads(perSecond float64, d time.Duration) {
	for i := range int(perSecond * d.Seconds()) {
		f.after(time.Duration(float64(i)/perSecond*float64(time.Second)), func() {
			u := &upload{startedAt: f.now}
			f.uploads = append(f.uploads, u)
			f.tryUpload(&client{zone: f.random.IntN(zones), service: 1}, u)
		})
	}
}

// tryUpload starts an upload on a new flow, unless its client gives up.
func (f *fleet) tryUpload(c *client, u *upload) {
	if u.tries >= maxTries || !u.servedAt.IsZero() || f.now.Sub(u.startedAt) >= uploadDeadline {
		return
	}
	u.tries++
	f.uploadFlows++
	n := f.uploadFlows
	x := &flow{client: c, upload: u, packets: &uploadFlow{left: uploadPackets}}
	x.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(n >> 8), byte(n)}), uint16(1000+n>>16))
	x.key = balsampier.NewFlowKey(x.addr, routeAddrs[c.service], nil)
	f.flows[x.addr] = x
	f.open(x)
}

// deliverToUpload handles a packet of the server of an upload.
func (f *fleet) deliverToUpload(x *flow, s balsampier.Segment) {
	p := x.packets
	switch {
	case s.Opening && x.open:
	case s.Opening:
		x.open, x.serverSequence = true, s.Sequence
		for range uploadWindow {
			f.sendNextPacket(x)
		}
	case s.Acknowledged < uploadPackets && !p.acked[s.Acknowledged]:
		p.acked[s.Acknowledged] = true
		if p.left--; p.left == 0 {
			x.upload.servedAt = f.now
			x.closed = true
			return
		}
		f.sendNextPacket(x)
	}
}

func (f *fleet) sendNextPacket(x *flow) {
	if p := x.packets; p.next < uploadPackets {
		p.next++
		f.sendUntilAcked(x, p.next-1, retransmitDelay)
	}
}

// sendUntilAcked sends packet n of an upload until it is acknowledged.
func (f *fleet) sendUntilAcked(x *flow, n int, wait time.Duration) {
	if x.closed || x.packets.acked[n] || f.now.Sub(x.upload.startedAt) >= uploadDeadline {
		return
	}
	f.sendFromClient(x, balsampier.Segment{Ack: true, Acknowledged: x.serverSequence + 1, Sequence: uint32(n), Length: uploadPacketBytes})
	f.after(wait, func() { f.sendUntilAcked(x, n, min(2*wait, maxRetransmitDelay)) })
}

// uploaded returns the share of the uploads started in [from, to) that were
// served before their deadline.
func (f *fleet) uploaded(from, to time.Duration) float64 {
	n, ok := 0, 0
	for _, u := range f.uploads {
		if s := u.startedAt.Sub(start); s >= from && s < to {
			n++
			if !u.servedAt.IsZero() {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(n, 1))
}

// TestBurstOfUploads sends a burst of uploads through 18 thin and 6 wide
// balancers, which take the same share of them. The thin links queue for longer
// than clients wait before they retransmit. Small requests must be served
// throughout, and all of them in time soon after the burst.
func TestBurstOfUploads(t *testing.T) {
	const (
		burstAt  = 3 * time.Second
		burstEnd = burstAt + 5*time.Second
		end      = burstEnd + 5*time.Second
	)
	c := qt.New(t)
	rates := make([]float64, 24)
	for i := range rates {
		rates[i] = 1.05e6
		if i < zones {
			rates[i] = 12.5e6
		}
	}
	f := newFleet(1, 60, rates)
	f.addClients(2000, 1000)
	f.addUploads(125, end)
	f.after(burstAt, func() { f.addUploads(200, burstEnd-burstAt) })
	f.run(end + deadline)
	for s := time.Duration(0); s < end; s += time.Second {
		c.Logf("%v: served %.4f, in time %.4f, uploads %.4f, messages %v",
			s, f.served(s, s+time.Second), f.servedWithin(s, s+time.Second, aim), f.uploaded(s, s+time.Second), f.sent[s/time.Second])
	}
	c.Check(f.served(burstAt, burstEnd) >= 0.99, qt.IsTrue)
	c.Check(f.servedWithin(burstEnd+settleTime, end, aim) >= 0.99, qt.IsTrue)
}
