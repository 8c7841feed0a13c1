package requests

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	floodServerSlots = 5
	floodQueueDepth  = 128
	meanServiceTime  = 100 * time.Millisecond
	requestTimeout   = 2 * time.Second
	admitInterval    = 5 * time.Millisecond
	// floodStart and floodEnd bound the flood. Only requests that arrive
	// between them count.
	floodStart    = 10 * time.Second
	floodEnd      = 50 * time.Second
	simulatedTime = 53 * time.Second
	// floodFactor is the request rate of a flooding class relative to its usual
	// rate.
	floodFactor = 10
	// usualUtilization is the part of its guaranteed share that a class uses
	// without a flood.
	usualUtilization = 0.8
	// shedCapacity is how many requests a shedding server runs at the same
	// time; it refuses more, although it has more slots.
	shedCapacity     = 3
	usualCallers     = 20
	floodCallers     = 300
	coldWarmupWindow = 20 * time.Second
	coldFactor       = 4
	slowFactor       = 3
	floodSubnet      = 66
	secondsInRun     = int(simulatedTime/time.Second) + 1
)

const (
	serverSteady serverKind = iota
	serverShedding
	serverCold
	serverSlow
)

type (
	// serverKind is the behaviour of the simulated backend server.
	serverKind uint8

	// Scenario describes one simulation of load, on simulated time.
	Scenario struct {
		Seed   uint64
		Server serverKind
		// Flooding is set for each class that floods.
		Flooding [2]bool
		// OneCaller is set if the whole flood comes from one address.
		OneCaller bool
	}

	// FloodResult is the outcome of one simulation, or the sum of several.
	FloodResult struct {
		// Offered and Completed count the other work of each class: the
		// requests of the usual callers and, where the flood comes from many
		// callers, also those of the flood. Completed omits late ones.
		Offered, Completed [2]int
		// Late counts the requests that finished after their deadline.
		Late int
		// LongestGap is the longest period during the flood, in whole seconds,
		// in which no request of the class completed before its deadline.
		LongestGap [2]int
		// MaxQueued and MaxRunning are the highest numbers of queued and of
		// running requests.
		MaxQueued, MaxRunning int
	}

	// source sends requests of one class at a mean rate per second.
	source struct {
		class balsampier.Class
		rate  float64
		flood bool
		rng   *rand.Rand
	}

	// floodEvent is the arrival or the end of a request.
	floodEvent struct {
		at time.Time
		// source sends a request if it is not nil; otherwise the request with
		// ticket finishes.
		source *source
		ticket balsampier.Ticket
	}

	// floodRequest is a request that is queued or running. Its size is its
	// service time relative to the mean.
	floodRequest struct {
		request balsampier.Request
		flood   bool
		size    float64
	}

	eventHeap []floodEvent

	floodRun struct {
		scenario           Scenario
		admitter           balsampier.Admitter
		start              time.Time
		events             eventHeap
		requests           map[balsampier.Ticket]floodRequest
		running            int
		completedPerSecond [2][secondsInRun]int
		result             FloodResult
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

// capacity returns how many requests the server can run per second. A cold
// server counts with its capacity before it warms up.
func (s Scenario) capacity() float64 {
	n := float64(floodServerSlots)
	if s.Server == serverShedding {
		n = shedCapacity
	}
	if s.Server == serverSlow {
		n /= slowFactor
	}
	if s.Server == serverCold {
		n /= coldFactor
	}
	return n / meanServiceTime.Seconds()
}

// sources returns the sources of the usual requests of both classes and of the
// flood. The usual requests have random streams of their own, so that they are
// the same with and without a flood.
func (s Scenario) sources(weights [2]float64) []*source {
	var out []*source
	for c := range 2 {
		rate := usualUtilization * weights[c] * s.capacity()
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

// SimulateFlood runs the scenario against admitter a. The weights are the
// guaranteed shares of the classes.
func SimulateFlood(s Scenario, a balsampier.Admitter, weights [2]float64) FloodResult {
	f := &floodRun{scenario: s, admitter: a, start: time.UnixMilli(1_800_000_000_000), requests: make(map[balsampier.Ticket]floodRequest)}
	for _, x := range s.sources(weights) {
		at := f.start
		if x.flood {
			at = at.Add(floodStart)
		}
		f.scheduleArrival(x, at)
	}
	next := f.start
	for next.Sub(f.start) < simulatedTime {
		for len(f.events) > 0 && f.events[0].at.Before(next) {
			e := heap.Pop(&f.events).(floodEvent)
			f.handleEvent(e)
			f.startQueued(e.at)
		}
		f.startQueued(next)
		next = next.Add(admitInterval)
	}
	for c := range f.completedPerSecond {
		gap := 0
		for i := int(floodStart / time.Second); i < int(floodEnd/time.Second); i++ {
			gap++
			if f.completedPerSecond[c][i] > 0 {
				gap = 0
			}
			f.result.LongestGap[c] = max(f.result.LongestGap[c], gap)
		}
	}
	return f.result
}

// scheduleArrival schedules the next request of x after t. Arrivals are a
// Poisson process.
func (f *floodRun) scheduleArrival(x *source, t time.Time) {
	at := t.Add(time.Duration(x.rng.ExpFloat64() / x.rate * float64(time.Second)))
	if !x.flood || at.Sub(f.start) < floodEnd {
		heap.Push(&f.events, floodEvent{at: at, source: x})
	}
}

func (f *floodRun) handleEvent(e floodEvent) {
	if e.source == nil {
		f.finishRequest(e.ticket, e.at)
		return
	}
	f.scheduleArrival(e.source, e.at)
	r := balsampier.Request{
		Class: e.source.class, Caller: f.drawCaller(e.source), At: e.at, Deadline: e.at.Add(requestTimeout),
	}
	q := floodRequest{request: r, flood: e.source.flood, size: 0.5 + e.source.rng.Float64()}
	if f.isOtherWork(q) {
		f.result.Offered[r.Class]++
	}
	k, m := f.admitter.Admit(r, e.at)
	switch m {
	case balsampier.AdmissionRun:
		f.requests[k] = q
		f.serveRequest(k, e.at)
	case balsampier.AdmissionQueued:
		f.requests[k] = q
	case balsampier.AdmissionRefused:
	}
}

func (f *floodRun) drawCaller(x *source) netip.Addr {
	if !x.flood {
		return netip.AddrFrom4([4]byte{198, 51, 100, byte(x.rng.IntN(usualCallers))})
	}
	n := 0
	if !f.scenario.OneCaller {
		n = x.rng.IntN(floodCallers)
	}
	return netip.AddrFrom4([4]byte{203, floodSubnet, byte(n >> 8), byte(n)})
}

// startQueued runs the requests that the admitter starts and forgets those that
// it refuses.
func (f *floodRun) startQueued(t time.Time) {
	start, refuse := f.admitter.Next(t)
	for _, k := range start {
		f.serveRequest(k, t)
	}
	for _, k := range refuse {
		delete(f.requests, k)
	}
	l := f.admitter.Load()
	f.result.MaxQueued, f.result.MaxRunning = max(f.result.MaxQueued, l.Queued), max(f.result.MaxRunning, l.Running)
}

// serveRequest runs a request at the backend server. A shedding server refuses
// it beyond shedCapacity.
func (f *floodRun) serveRequest(k balsampier.Ticket, t time.Time) {
	if f.scenario.Server == serverShedding && f.running >= shedCapacity {
		delete(f.requests, k)
		f.admitter.Shed(k, t)
		return
	}
	f.running++
	d := time.Duration(f.requests[k].size * f.slowdown(t) * float64(meanServiceTime))
	heap.Push(&f.events, floodEvent{at: t.Add(d), ticket: k})
}

// slowdown returns the service time at t relative to that of a steady server.
func (f *floodRun) slowdown(t time.Time) float64 {
	switch f.scenario.Server {
	case serverSlow:
		return slowFactor
	case serverCold:
		left := 1 - float64(t.Sub(f.start.Add(floodStart)))/float64(coldWarmupWindow)
		return 1 + (coldFactor-1)*min(max(left, 0), 1)
	case serverSteady, serverShedding:
	}
	return 1
}

func (f *floodRun) finishRequest(k balsampier.Ticket, t time.Time) {
	q := f.requests[k]
	delete(f.requests, k)
	f.running--
	f.admitter.Finish(k, t)
	if t.After(q.request.Deadline) {
		f.result.Late++
		return
	}
	f.completedPerSecond[q.request.Class][int(t.Sub(f.start)/time.Second)]++
	if f.isOtherWork(q) {
		f.result.Completed[q.request.Class]++
	}
}

// isOtherWork reports whether q arrived during the flood and counts as other
// work than the flood. A flood from many callers can't be told from usual
// requests, so its class counts as a whole.
func (f *floodRun) isOtherWork(q floodRequest) bool {
	at := q.request.At.Sub(f.start)
	if at < floodStart || at >= floodEnd {
		return false
	}
	return !q.flood || !f.scenario.OneCaller
}
