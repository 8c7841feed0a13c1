package loads_test

import (
	"time"

	"github.com/balsampier/balsampier"
)

// killBalancer ends a balancer and starts it again after d.
func (f *fleet) killBalancer(i int, d time.Duration) {
	b := f.balancers[i]
	if !b.up {
		return
	}
	b.up = false
	f.after(probeTimeout, func() { b.inRotation = b.up })
	f.after(d, func() { f.startBalancer(i) })
	f.after(d+probeTimeout/2, func() { b.inRotation = true })
}

// release replaces the servers of the first service, n at a time: the new one
// starts, then the old one drains and ends.
func (f *fleet) release(share float64, n int, gap time.Duration) {
	var old []int
	for i, a := range f.agents {
		if a.service == 0 && !a.draining && f.random.Float64() < share {
			old = append(old, i)
		}
	}
	for k, i := range old {
		f.after(time.Duration(k/n)*gap, func() {
			f.addAgent(f.agents[i].zone, 0, false)
			f.publish()
			f.after(400*time.Millisecond, func() { f.drainServer(i) })
		})
	}
}

func (f *fleet) drainServer(i int) {
	a := f.agents[i]
	a.draining = true
	a.table.HandleHeartbeat(balsampier.ServerState{
		ID: a.addr.String(), Born: start, Sequence: 2, Service: serviceNames[a.service], Slots: 2, Draining: true,
	}, f.now)
	f.publish()
	f.after(drainTimeout, func() {
		for j := range a.known {
			f.sendToBalancer(a, j, balsampier.Relay{Kind: balsampier.RelayShutdown, Flow: balsampier.FlowKey{Lo: 1}})
		}
		a.gone = true
		f.publish()
	})
}

// killShare kills about a share of the balancers for 2 s.
func (f *fleet) killShare(share float64) {
	for i := range f.balancers {
		if f.random.Float64() < share {
			f.killBalancer(i, 2*time.Second)
		}
	}
}

// cutOffShare cuts about a share of the balancers off from control for d.
func (f *fleet) cutOffShare(share float64, d time.Duration) {
	for _, b := range f.balancers {
		b.cutOff = f.random.Float64() < share
	}
	f.after(d, func() {
		for _, b := range f.balancers {
			b.cutOff = false
		}
		f.publish()
	})
}

// roll restarts a share of the balancers, n at a time.
func (f *fleet) roll(share float64, n int, gap time.Duration) {
	for i := range int(share * float64(len(f.balancers))) {
		f.after(time.Duration(i/n)*gap, func() {
			f.balancers[i].inRotation = false
			f.after(probeTimeout, func() { f.killBalancer(i, 300*time.Millisecond) })
		})
	}
}

// losePower ends all processes, with all flows, and starts them again after d.
// Balancers get their first view up to a second later.
func (f *fleet) losePower(d time.Duration) {
	for i, b := range f.balancers {
		b.up, b.inRotation = false, false
		f.after(d+f.delay(time.Second), func() {
			f.startBalancer(i)
			b.inRotation = true
		})
	}
	for _, a := range f.agents {
		a.gone = true
		clear(a.flows)
	}
	f.after(d, func() {
		for i, a := range f.agents {
			a.gone = false
			f.startTable(i, false)
		}
	})
}
