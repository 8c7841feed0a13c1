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
	// answerBytes is the length of the body of a stored answer.
	answerBytes = 200
	// requestsPerRun is how many requests are offered in one timed run, after
	// the queue has been filled.
	requestsPerRun = 20_000
	costRepeats    = 5
)

var (
	costStart = time.UnixMilli(1_800_000_000_000)
	keyCounts = []int{10_000, 30_000, 100_000}
	// queueDepths are the numbers of queued requests. They stay below the
	// default queue depth of an agent.
	queueDepths = []int{16, 64, 256}
	costHolder  = balsampier.Holder{Instance: 1, Incarnation: 1}
)

// MeasureCosts prints the memory and time that claims and stored answers take
// by the number of keys, and the time that admission takes by the number of
// queued requests.
func MeasureCosts(w io.Writer) error {
	r := measure.New(w)
	for _, n := range keyCounts {
		if err := measureClaims(r, n); err != nil {
			return err
		}
		if err := measureAnswers(r, n); err != nil {
			return err
		}
	}
	r.PrintSlopes("Key")
	for _, n := range queueDepths {
		measureAdmission(r, n)
	}
	r.PrintSlopes("Waiting")
	return r.Err()
}

// measureClaims measures the memory and time that n claims take in the table of
// one holder.
func measureClaims(r *measure.Report, n int) error {
	s, err := (claim.Settings{}).Check()
	if err != nil {
		return trace.Wrap(err)
	}
	e := claim.NewEpochs(costHolder)
	e.AdoptGroup(claim.Group{Epoch: 1, Members: []balsampier.Holder{costHolder}, Holders: []balsampier.Holder{costHolder}})
	e.ExtendLease(costStart, time.Hour, 1, 1)
	before := measure.MemoryBytes()
	h := claim.NewHolder(costHolder, s, e)
	// The first group of a service has no earlier holders to copy claims from.
	// NextCopy finds that and marks the epoch as complete; before, no claim is
	// granted.
	h.NextCopy(costStart)
	k := clock.System{}
	t := k.Now()
	for i := range n {
		p := h.Claim(claim.Claim{Epoch: 1, Key: costKey(i), Runner: costHolder, FirstAttempt: 1, Attempt: 1}, costStart)
		if p.Decision != claim.DecisionGranted {
			return trace.BadParameter("claim %d of %d was not granted: decision %d", i, n, p.Decision)
		}
	}
	took := k.Now().Sub(t)
	r.Sized("claims.table.bytes", n, measure.MemoryBytes()-before)
	r.Sized("claims.fill.seconds", n, took.Seconds())
	if h.Len() != n {
		return trace.BadParameter("holder has %d claims instead of %d", h.Len(), n)
	}
	return nil
}

// measureAnswers measures the memory and time that n stored answers take. The
// limit of entries is n, so that none is evicted for it.
func measureAnswers(r *measure.Report, n int) error {
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
		v, err := b.Open(costKey(i), answer.Fingerprint(i), costStart)
		if err != nil {
			return trace.Wrap(err, "open request %d of %d", i, n)
		}
		b.Store(costKey(i), v, &answer.Answer{Status: 200, Body: make([]byte, answerBytes)}, costStart)
	}
	took := k.Now().Sub(t)
	r.Sized("answers.table.bytes", n, measure.MemoryBytes()-before)
	r.Sized("answers.fill.seconds", n, took.Seconds())
	if b.Len() != n {
		return trace.BadParameter("table has %d answers instead of %d", b.Len(), n)
	}
	return nil
}

// measureAdmission measures the time to admit, start and finish one request
// while the given number of others is queued.
func measureAdmission(r *measure.Report, waiting int) {
	d := measure.MinDuration(clock.System{}, costRepeats, func() {
		q := admit.New(floodServerSlots, waiting+1)
		t := costStart
		for i := range floodServerSlots + waiting {
			q.Admit(costRequest(i, t), t)
		}
		running, _ := q.Next(t)
		for i := range requestsPerRun {
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
	r.Sized("admission.secondsPerRequest", waiting, d.Seconds()/requestsPerRun)
}

func costRequest(i int, t time.Time) balsampier.Request {
	return balsampier.Request{
		Class: balsampier.Class(i % 2), Caller: netip.AddrFrom4([4]byte{198, 51, 100, byte(i)}),
		At: t, Deadline: t.Add(time.Hour),
	}
}

// costKey returns the i-th idempotency key: a UUIDv7 issued at costStart.
func costKey(i int) uuid.UUID {
	var k uuid.UUID
	binary.BigEndian.PutUint64(k[:8], uint64(costStart.UnixMilli())<<16|0x7000|uint64(i)>>32)
	binary.BigEndian.PutUint64(k[8:], 1<<63|uint64(i)*0x9e3779b97f4a7c15>>2)
	if k.Version() != 7 {
		panic(fmt.Sprintf("key %s is not a UUIDv7", k))
	}
	return k
}
