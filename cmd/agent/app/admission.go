package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/ring"
)

// admissionTickInterval is how often the deadlines of queued requests are
// checked.
const admissionTickInterval = 10 * time.Millisecond

const (
	eventAdmit eventKind = iota
	eventDone
	eventShed
	eventStream
	eventCancel
	eventSlots
	eventLoad
)

type (
	// eventKind says which fields of an event are set.
	eventKind uint8

	// admission is the thread that owns the Admitter.
	admission struct {
		queue  balsampier.Admitter
		clock  balsampier.Clock
		events *ring.Ring[event]
		// waiting holds the result channel of every queued ticket.
		waiting map[balsampier.Ticket]chan admissionResult
	}

	// event is one message to the admission thread.
	event struct {
		kind    eventKind
		request balsampier.Request
		ticket  balsampier.Ticket
		slots   int
		// result receives the result of an admission or of a conversion to a
		// stream; its capacity is one, so that the thread never blocks on it.
		result chan admissionResult
		// issued receives the ticket of a request before its admission result.
		issued chan balsampier.Ticket
		load   chan balsampier.Load
	}

	// admissionResult says whether a request was admitted, or whether it was
	// converted to a stream.
	admissionResult struct {
		ok bool
		// refusal is set when a request was not admitted. It is zero in the result
		// of a conversion to a stream.
		refusal balsampier.Refusal
	}

	// slot is the slot of an admitted request. It must be released when the
	// request has ended.
	slot struct {
		admission *admission
		ticket    balsampier.Ticket
	}
)

func newAdmission(q balsampier.Admitter, k balsampier.Clock, depth int) *admission {
	return &admission{
		queue: q, clock: k, events: ring.New[event]("admission", depth, ring.Block),
		waiting: make(map[balsampier.Ticket]chan admissionResult),
	}
}

// admit waits until the request may run. The error is a refusal if it may not.
func (a *admission) admit(c context.Context, r balsampier.Request) (slot, error) {
	e := event{kind: eventAdmit, request: r, result: make(chan admissionResult, 1), issued: make(chan balsampier.Ticket, 1)}
	if err := a.events.PushWith(c, e, ring.Reject); err != nil {
		return slot{}, newRefusal(reasonAgentBusy, retryAfter, errNotAdmitted(err))
	}
	var k balsampier.Ticket
	select {
	case k = <-e.issued:
	case <-c.Done():
		// The thread still issues the ticket, which has to be withdrawn.
		go func() { a.withdraw(<-e.issued, e.result) }()
		return slot{}, newRefusal(reasonCallerGone, 0, errNotAdmitted(c.Err()))
	}
	select {
	case v := <-e.result:
		if !v.ok {
			return slot{}, newRefusal(v.refusal.Reason.String(), v.refusal.RetryAfter, errNotAdmitted(nil))
		}
		return slot{admission: a, ticket: k}, nil
	case <-c.Done():
		a.withdraw(k, e.result)
		return slot{}, newRefusal(reasonCallerGone, 0, errNotAdmitted(c.Err()))
	}
}

// release frees the slot or ends the stream. shed is true when the backend
// server refused the request for lack of capacity.
func (s slot) release(shed bool) {
	if shed {
		s.admission.post(event{kind: eventShed, ticket: s.ticket})
		return
	}
	s.admission.post(event{kind: eventDone, ticket: s.ticket})
}

// convertToStream turns the request into a connection, which takes no slot. It
// returns false if there are too many connections.
func (s slot) convertToStream() bool {
	e := event{kind: eventStream, ticket: s.ticket, result: make(chan admissionResult, 1)}
	s.admission.post(e)
	return (<-e.result).ok
}

// withdraw cancels a ticket, or frees its slot if it has just been admitted.
func (a *admission) withdraw(k balsampier.Ticket, admitted chan admissionResult) {
	a.post(event{kind: eventCancel, ticket: k, result: admitted})
}

func (a *admission) setSlots(n int) { a.post(event{kind: eventSlots, slots: n}) }

// load returns the current load of the queue.
func (a *admission) load(c context.Context) (balsampier.Load, error) {
	e := event{kind: eventLoad, load: make(chan balsampier.Load, 1)}
	if err := a.events.PushWith(c, e, ring.Reject); err != nil {
		return balsampier.Load{}, err
	}
	select {
	case l := <-e.load:
		return l, nil
	case <-c.Done():
		return balsampier.Load{}, c.Err()
	}
}

// post enqueues an event that must not get lost. It blocks while the ring is
// full.
func (a *admission) post(e event) { _ = a.events.Push(context.Background(), e) }

func (a *admission) run(c context.Context) error {
	var es [batchSize]event
	for {
		var t balsampier.Timer
		var fired <-chan time.Time
		if len(a.waiting) > 0 {
			t = a.clock.NewTimer(admissionTickInterval)
			fired = t.C()
		}
		n, err := a.events.PopUntil(c, es[:], fired)
		if t != nil {
			t.Stop()
		}
		if err != nil {
			return err
		}
		for _, e := range es[:n] {
			a.handle(e)
		}
		a.dispatch()
	}
}

func (a *admission) handle(e event) {
	t := a.clock.Now()
	switch e.kind {
	case eventAdmit:
		k, v := a.queue.Admit(e.request, t)
		e.issued <- k
		if v == balsampier.AdmissionQueued {
			a.waiting[k] = e.result
			return
		}
		e.result <- a.resultOf(k, v == balsampier.AdmissionRun)
	case eventDone:
		a.queue.Finish(e.ticket, t)
	case eventShed:
		a.queue.Shed(e.ticket, t)
	case eventStream:
		e.result <- admissionResult{ok: a.queue.ConvertToConnection(e.ticket, t)}
	case eventCancel:
		a.handleCancel(e, t)
	case eventSlots:
		a.queue.SetSlots(e.slots)
	case eventLoad:
		e.load <- a.queue.Load()
	}
}

func (a *admission) handleCancel(e event, t time.Time) {
	if _, ok := a.waiting[e.ticket]; ok {
		delete(a.waiting, e.ticket)
		a.queue.Cancel(e.ticket, t)
		return
	}
	select {
	case v := <-e.result:
		if v.ok {
			a.queue.Finish(e.ticket, t)
		}
	default:
	}
}

// dispatch sends the results of the queued requests that may start or are
// refused now.
func (a *admission) dispatch() {
	start, refuse := a.queue.Next(a.clock.Now())
	for _, k := range start {
		a.reply(k, true)
	}
	for _, k := range refuse {
		a.reply(k, false)
	}
}

func (a *admission) reply(k balsampier.Ticket, ok bool) {
	if c, found := a.waiting[k]; found {
		c <- a.resultOf(k, ok)
		delete(a.waiting, k)
	}
}

func (a *admission) resultOf(k balsampier.Ticket, ok bool) admissionResult {
	r, _ := a.queue.Refusal(k)
	return admissionResult{ok: ok, refusal: r}
}

func errNotAdmitted(err error) error {
	return balsampier.NewError(balsampier.KindNotRun, "admit request", "send it again later", err)
}
