package requests

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/admit"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
)

const (
	// answerBytes is the length of a stored answer.
	answerBytes = 200
	// offers is how many requests are admitted in one timed run.
	offers      = 20_000
	costRepeats = 5
)

var (
	costStart = time.UnixMilli(1_800_000_000_000)
	keyCounts = []int{10_000, 30_000, 100_000}
	// queueDepths are below the default depth of an agent's queue.
	queueDepths = []int{16, 64, 256}
	costHolder  = balsampier.Holder{Instance: 1, Incarnation: 1}
)

// Costs prints what keyed requests and admission cost, against the number of
// keys and of waiting requests.
func Costs(w io.Writer) error {
	r := measure.New(w)
	for _, n := range keyCounts {
		if err := claimCosts(r, n); err != nil {
			return err
		}
		if err := answerCosts(r, n); err != nil {
			return err
		}
	}
	r.PrintSlopes("Key")
	for _, n := range queueDepths {
		admitCosts(r, n)
	}
	r.PrintSlopes("Waiting")
	return r.Err()
}

// claimCosts fills the table of one holder.
func claimCosts(r *measure.Report, n int) error {
	s, err := (claim.Settings{}).Check()
	if err != nil {
		return trace.Wrap(err)
	}
	e := claim.NewEpochs(costHolder)
	e.AdoptGroup(claim.Group{Epoch: 1, Members: []balsampier.Holder{costHolder}, Holders: []balsampier.Holder{costHolder}})
	e.ExtendLease(costStart, time.Hour, 1, 1)
	before := measure.MemoryBytes()
	h := claim.NewHolder(costHolder, s, e)
	// A first holder has nothing to copy; asking for it makes the table whole.
	h.NextCopy(costStart)
	k := clock.System{}
	t := k.Now()
	for i := range n {
		p := h.Claim(claim.Claim{Epoch: 1, Key: key(i), Runner: costHolder, FirstAttempt: 1, Attempt: 1}, costStart)
		if p.Decision != claim.DecisionGranted {
			return trace.BadParameter("claim %d of %d was answered with decision %d", i, n, p.Decision)
		}
	}
	took := k.Now().Sub(t)
	r.Sized("claims.table.bytes", n, measure.MemoryBytes()-before)
	r.Sized("claims.fill.seconds", n, took.Seconds())
	if h.Len() != n {
		return trace.BadParameter("%d claims were kept, not %d", h.Len(), n)
	}
	return nil
}

// answerCosts fills a table of answers that is bounded by n alone.
func answerCosts(r *measure.Report, n int) error {
	s, err := (answer.Settings{}).Check()
	if err != nil {
		return trace.Wrap(err)
	}
	s.MaxEntries = n
	before := measure.MemoryBytes()
	b := answer.New(s)
	k := clock.System{}
	t := k.Now()
	for i := range n {
		v, err := b.Open(key(i), answer.Fingerprint(i), costStart)
		if err != nil {
			return trace.Wrap(err, "open %d of %d", i, n)
		}
		b.Store(key(i), v, &answer.Answer{Status: 200, Body: make([]byte, answerBytes)}, costStart)
	}
	took := k.Now().Sub(t)
	r.Sized("answers.table.bytes", n, measure.MemoryBytes()-before)
	r.Sized("answers.fill.seconds", n, took.Seconds())
	if b.Len() != n {
		return trace.BadParameter("%d answers were kept, not %d", b.Len(), n)
	}
	return nil
}

// admitCosts measures offer, start and end of a request while others wait.
func admitCosts(r *measure.Report, waiting int) {
	d := measure.MinDuration(clock.System{}, costRepeats, func() {
		q := admit.New(floodSlots, waiting+1)
		t := costStart
		for i := range floodSlots + waiting {
			q.Admit(costRequest(i, t), t)
		}
		running, _ := q.Next(t)
		for i := range offers {
			t = t.Add(time.Microsecond)
			q.Admit(costRequest(i, t), t)
			if len(running) > 0 {
				q.Finish(running[0], t)
				running = running[1:]
			}
			start, _ := q.Next(t)
			running = append(running, start...)
		}
	})
	r.Sized("admission.secondsPerRequest", waiting, d.Seconds()/offers)
}

func costRequest(i int, t time.Time) balsampier.Request {
	return balsampier.Request{
		Class: balsampier.Class(i % 2), Caller: netip.AddrFrom4([4]byte{198, 51, 100, byte(i)}),
		At: t, Deadline: t.Add(time.Hour),
	}
}

// key returns the i-th idempotency key, issued at costStart.
func key(i int) uuid.UUID {
	var k uuid.UUID
	binary.BigEndian.PutUint64(k[:8], uint64(costStart.UnixMilli())<<16|0x7000|uint64(i)>>32)
	binary.BigEndian.PutUint64(k[8:], 1<<63|uint64(i)*0x9e3779b97f4a7c15>>2)
	if k.Version() != 7 {
		panic(fmt.Sprintf("key %s is of another version", k))
	}
	return k
}
