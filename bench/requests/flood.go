package requests

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	floodSlots    = 5
	floodDepth    = 128
	floodService  = 100 * time.Millisecond
	floodDeadline = 2 * time.Second
	floodTick     = 5 * time.Millisecond
	// floodFrom and floodUntil bound the flood and what is counted.
	floodFrom  = 10 * time.Second
	floodUntil = 50 * time.Second
	floodEnd   = 53 * time.Second
	// floodFactor is how much more than usual the flooding class brings.
	floodFactor = 10
	// floodShare is the part of its guaranteed share that a class uses.
	floodShare = 0.8
	// shedCapacity is how many requests a shedding server really runs.
	shedCapacity  = 3
	usualCallers  = 20
	floodCallers  = 300
	coldWarmUp    = 20 * time.Second
	coldFactor    = 4
	slowFactor    = 3
	floodSubnet   = 66
	secondsInTest = int(floodEnd/time.Second) + 1
)

const (
	serverSteady serverKind = iota
	serverShedding
	serverCold
	serverSlow
)

type (
	// serverKind is how the backend server behaves.
	serverKind uint8

	// Scenario is one run of load on a fake clock.
	Scenario struct {
		Seed   uint64
		Server serverKind
		// Flooding tells for each class whether it floods.
		Flooding [2]bool
		// OneCaller lets the whole flood come from one address.
		OneCaller bool
	}

	// Served is what a run served.
	Served struct {
		// Offered and Done count the other work of each class: that of usual
		// callers, and for a flood of many callers all of the class.
		Offered, Done [2]int
		// Late counts the requests that ended after their deadline.
		Late int
		// Gap is the longest run of whole seconds of the flood without any
		// done work of the class.
		Gap [2]int
		// MaxQueued and MaxRunning are the highest loads seen.
		MaxQueued, MaxRunning int
	}

	source struct {
		class balsampier.Class
		rate  float64
		flood bool
		rng   *rand.Rand
	}

	floodEvent struct {
		at time.Time
		// src offers a request when it is set; otherwise ticket ends.
		src    *source
		ticket balsampier.Ticket
	}

	floodRequest struct {
		r     balsampier.Request
		flood bool
		size  float64
	}

	eventHeap []floodEvent

	floodRun struct {
		s         Scenario
		a         balsampier.Admitter
		start     time.Time
		events    eventHeap
		requests  map[balsampier.Ticket]floodRequest
		running   int
		perSecond [2][secondsInTest]int
		out       Served
	}
)

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(floodEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	o := *h
	e := o[len(o)-1]
	*h = o[:len(o)-1]
	return e
}

// capacity returns the requests that the server can run each second.
func (s Scenario) capacity() float64 {
	n := float64(floodSlots)
	if s.Server == serverShedding {
		n = shedCapacity
	}
	if s.Server == serverSlow {
		n /= slowFactor
	}
	if s.Server == serverCold {
		n /= coldFactor
	}
	return n / floodService.Seconds()
}

// sources returns the usual work of both classes, and the flood. The usual
// work is the same with and without a flood.
func (s Scenario) sources(weights [2]float64) []*source {
	var out []*source
	for c := range 2 {
		rate := floodShare * weights[c] * s.capacity()
		stream := uint64(c + 1)
		out = append(out, &source{class: balsampier.Class(c), rate: rate, rng: rand.New(rand.NewPCG(s.Seed, stream))})
		if s.Flooding[c] {
			out = append(out, &source{
				class: balsampier.Class(c), rate: (floodFactor - 1) * rate, flood: true,
				rng: rand.New(rand.NewPCG(s.Seed, stream+8)),
			})
		}
	}
	return out
}

// Flood runs the scenario on admitter a, where weights are the classes'
// guaranteed shares.
func Flood(s Scenario, a balsampier.Admitter, weights [2]float64) Served {
	f := &floodRun{s: s, a: a, start: time.UnixMilli(1_800_000_000_000), requests: make(map[balsampier.Ticket]floodRequest)}
	for _, x := range s.sources(weights) {
		at := f.start
		if x.flood {
			at = at.Add(floodFrom)
		}
		f.arrive(x, at)
	}
	next := f.start
	for next.Sub(f.start) < floodEnd {
		for len(f.events) > 0 && f.events[0].at.Before(next) {
			e := heap.Pop(&f.events).(floodEvent)
			f.handle(e)
			f.admit(e.at)
		}
		f.admit(next)
		next = next.Add(floodTick)
	}
	for c := range f.perSecond {
		gap := 0
		for i := int(floodFrom / time.Second); i < int(floodUntil/time.Second); i++ {
			gap++
			if f.perSecond[c][i] > 0 {
				gap = 0
			}
			f.out.Gap[c] = max(f.out.Gap[c], gap)
		}
	}
	return f.out
}

func (f *floodRun) arrive(x *source, t time.Time) {
	at := t.Add(time.Duration(x.rng.ExpFloat64() / x.rate * float64(time.Second)))
	if !x.flood || at.Sub(f.start) < floodUntil {
		heap.Push(&f.events, floodEvent{at: at, src: x})
	}
}

func (f *floodRun) handle(e floodEvent) {
	if e.src == nil {
		f.finish(e.ticket, e.at)
		return
	}
	f.arrive(e.src, e.at)
	r := balsampier.Request{
		Class: e.src.class, Caller: f.caller(e.src), At: e.at, Deadline: e.at.Add(floodDeadline),
	}
	q := floodRequest{r: r, flood: e.src.flood, size: 0.5 + e.src.rng.Float64()}
	if f.counts(q) {
		f.out.Offered[r.Class]++
	}
	k, m := f.a.Admit(r, e.at)
	switch m {
	case balsampier.AdmissionRun:
		f.requests[k] = q
		f.serve(k, e.at)
	case balsampier.AdmissionQueued:
		f.requests[k] = q
	case balsampier.AdmissionRefused:
	}
}

func (f *floodRun) caller(x *source) netip.Addr {
	if !x.flood {
		return netip.AddrFrom4([4]byte{198, 51, 100, byte(x.rng.IntN(usualCallers))})
	}
	n := 0
	if !f.s.OneCaller {
		n = x.rng.IntN(floodCallers)
	}
	return netip.AddrFrom4([4]byte{203, floodSubnet, byte(n >> 8), byte(n)})
}

func (f *floodRun) admit(t time.Time) {
	start, refuse := f.a.Next(t)
	for _, k := range start {
		f.serve(k, t)
	}
	for _, k := range refuse {
		delete(f.requests, k)
	}
	l := f.a.Load()
	f.out.MaxQueued, f.out.MaxRunning = max(f.out.MaxQueued, l.Queued), max(f.out.MaxRunning, l.Running)
}

// serve runs a request at the backend server, which may refuse it.
func (f *floodRun) serve(k balsampier.Ticket, t time.Time) {
	if f.s.Server == serverShedding && f.running >= shedCapacity {
		delete(f.requests, k)
		f.a.Shed(k, t)
		return
	}
	f.running++
	d := time.Duration(f.requests[k].size * f.factor(t) * float64(floodService))
	heap.Push(&f.events, floodEvent{at: t.Add(d), ticket: k})
}

// factor is how much slower than usual the server is at t.
func (f *floodRun) factor(t time.Time) float64 {
	switch f.s.Server {
	case serverSlow:
		return slowFactor
	case serverCold:
		left := 1 - float64(t.Sub(f.start.Add(floodFrom)))/float64(coldWarmUp)
		return 1 + (coldFactor-1)*min(max(left, 0), 1)
	case serverSteady, serverShedding:
	}
	return 1
}

func (f *floodRun) finish(k balsampier.Ticket, t time.Time) {
	q := f.requests[k]
	delete(f.requests, k)
	f.running--
	f.a.Finish(k, t)
	if t.After(q.r.Deadline) {
		f.out.Late++
		return
	}
	f.perSecond[q.r.Class][int(t.Sub(f.start)/time.Second)]++
	if f.counts(q) {
		f.out.Done[q.r.Class]++
	}
}

// counts reports whether q is other work: a class that many callers flood is
// measured as a whole.
func (f *floodRun) counts(q floodRequest) bool {
	at := q.r.At.Sub(f.start)
	if at < floodFrom || at >= floodUntil {
		return false
	}
	return !q.flood || !f.s.OneCaller
}
