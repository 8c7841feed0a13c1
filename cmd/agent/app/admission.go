package app

import (
	"context"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/ring"
)

// admissionTick is how often waiting requests are looked at for deadlines.
const admissionTick = 10 * time.Millisecond

const (
	eventOffer eventKind = iota
	eventDone
	eventShed
	eventStream
	eventCancel
	eventSlots
	eventLoad
)

type (
	eventKind uint8

	// admission is the thread that owns the Admitter.
	admission struct {
		q      balsampier.Admitter
		clock  balsampier.Clock
		events *ring.Ring[event]
		// waiting holds the answer of every queued ticket.
		waiting map[balsampier.Ticket]chan admitted
	}

	// event is one message to the thread.
	event struct {
		kind   eventKind
		r      balsampier.Request
		ticket balsampier.Ticket
		slots  int
		// admitted takes the answer to an offer or a stream; it has room for
		// it.
		admitted chan admitted
		// issued takes the ticket of an offer before its answer.
		issued chan balsampier.Ticket
		load   chan balsampier.Load
	}

	// admitted is the answer to an offer.
	admitted struct {
		ok bool
		// refusal is set when ok is false.
		refusal balsampier.Refusal
	}

	// slot is what an admitted request holds. It must be left when the
	// request is through.
	slot struct {
		a *admission
		k balsampier.Ticket
	}
)

func newAdmission(q balsampier.Admitter, k balsampier.Clock, depth int) *admission {
	return &admission{
		q: q, clock: k, events: ring.New[event]("admission", depth, ring.Block),
		waiting: make(map[balsampier.Ticket]chan admitted),
	}
}

// admit waits until the request may run.
func (a *admission) admit(c context.Context, r balsampier.Request) (slot, error) {
	e := event{kind: eventOffer, r: r, admitted: make(chan admitted, 1), issued: make(chan balsampier.Ticket, 1)}
	if err := a.events.PushWith(c, e, ring.Reject); err != nil {
		return slot{}, refuse(reasonRingFull, retryAfter, errNotAdmitted(err))
	}
	var k balsampier.Ticket
	select {
	case k = <-e.issued:
	case <-c.Done():
		// The thread still answers; give the ticket back then.
		go func() { a.withdraw(<-e.issued, e.admitted) }()
		return slot{}, refuse(reasonCallerGone, 0, errNotAdmitted(c.Err()))
	}
	select {
	case v := <-e.admitted:
		if !v.ok {
			return slot{}, refuse(v.refusal.Reason.String(), v.refusal.RetryAfter, errNotAdmitted(nil))
		}
		return slot{a: a, k: k}, nil
	case <-c.Done():
		a.withdraw(k, e.admitted)
		return slot{}, refuse(reasonCallerGone, 0, errNotAdmitted(c.Err()))
	}
}

// leave frees the slot or ends the stream; shed says that the backend server
// refused the request for lack of capacity.
func (s slot) leave(shed bool) {
	if shed {
		s.a.post(event{kind: eventShed, ticket: s.k})
		return
	}
	s.a.post(event{kind: eventDone, ticket: s.k})
}

// stream turns the request into a connection, if there is room for it.
func (s slot) stream() bool {
	e := event{kind: eventStream, ticket: s.k, admitted: make(chan admitted, 1)}
	s.a.post(e)
	return (<-e.admitted).ok
}

// withdraw cancels a ticket, or frees its slot if it was just admitted.
func (a *admission) withdraw(k balsampier.Ticket, admitted chan admitted) {
	a.post(event{kind: eventCancel, ticket: k, admitted: admitted})
}

func (a *admission) setSlots(n int) { a.post(event{kind: eventSlots, slots: n}) }

// load asks the thread for the current load.
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

// post must not lose the event; the thread always takes it.
func (a *admission) post(e event) { _ = a.events.Push(context.Background(), e) }

func (a *admission) run(c context.Context) error {
	var es [batchSize]event
	for {
		var t balsampier.Timer
		var fired <-chan time.Time
		if len(a.waiting) > 0 {
			t = a.clock.NewTimer(admissionTick)
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
			a.take(e)
		}
		a.next()
	}
}

func (a *admission) take(e event) {
	t := a.clock.Now()
	switch e.kind {
	case eventOffer:
		k, v := a.q.Admit(e.r, t)
		e.issued <- k
		if v == balsampier.AdmissionQueued {
			a.waiting[k] = e.admitted
			return
		}
		e.admitted <- a.answer(k, v == balsampier.AdmissionRun)
	case eventDone:
		a.q.Finish(e.ticket, t)
	case eventShed:
		a.q.Shed(e.ticket, t)
	case eventStream:
		e.admitted <- admitted{ok: a.q.ConvertToConnection(e.ticket, t)}
	case eventCancel:
		a.cancel(e, t)
	case eventSlots:
		a.q.SetSlots(e.slots)
	case eventLoad:
		e.load <- a.q.Load()
	}
}

func (a *admission) cancel(e event, t time.Time) {
	if _, ok := a.waiting[e.ticket]; ok {
		delete(a.waiting, e.ticket)
		a.q.Cancel(e.ticket, t)
		return
	}
	select {
	case v := <-e.admitted:
		if v.ok {
			a.q.Finish(e.ticket, t)
		}
	default:
	}
}

func (a *admission) next() {
	start, refuse := a.q.Next(a.clock.Now())
	for _, k := range start {
		a.reply(k, true)
	}
	for _, k := range refuse {
		a.reply(k, false)
	}
}

func (a *admission) reply(k balsampier.Ticket, ok bool) {
	if c, found := a.waiting[k]; found {
		c <- a.answer(k, ok)
		delete(a.waiting, k)
	}
}

func (a *admission) answer(k balsampier.Ticket, ok bool) admitted {
	r, _ := a.q.Refusal(k)
	return admitted{ok: ok, refusal: r}
}

func errNotAdmitted(err error) error {
	return balsampier.NewError(balsampier.KindNotRun, "admit request", "send it again later", err)
}
