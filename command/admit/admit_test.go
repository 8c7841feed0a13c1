package admit

import (
	"flag"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsampier/balsampier"
)

// TestMain sets a fixed seed; a seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

var startTime = time.Unix(1_800_000_000, 0)

func TestSettings(t *testing.T) {
	tests := []struct {
		name string
		edit func(*Settings)
		want balsampier.Kind
	}{
		{"defaults", func(*Settings) {}, 0},
		{"slots", func(s *Settings) { s.Slots = 0 }, balsampier.KindInvalid},
		{"weights", func(s *Settings) { s.Weights[1] = 0 }, balsampier.KindInvalid},
		{"maxWait", func(s *Settings) { s.MaxWait = s.TargetWait - 1 }, balsampier.KindInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := DefaultSettings()
			tt.edit(&s)
			qt.New(t).Assert(balsampier.KindOf(s.Check()), qt.Equals, tt.want)
		})
	}
}

// TestSlotsAreSharedByWeightAndCaller keeps a single slot busy and checks how
// many of 100 starts each caller gets.
func TestSlotsAreSharedByWeightAndCaller(t *testing.T) {
	const normal, urgent = balsampier.ClassNormal, balsampier.ClassUrgent
	type callerLoad struct {
		class  balsampier.Class
		caller string
		want   int
	}
	tests := []struct {
		name  string
		loads []callerLoad
	}{
		{"oneClassTakesAll", []callerLoad{{normal, "192.0.2.1", 100}}},
		{"classesByWeight", []callerLoad{{normal, "192.0.2.1", 30}, {urgent, "192.0.2.1", 70}}},
		{"callersEvenly", []callerLoad{{normal, "192.0.2.1", 50}, {normal, "192.0.2.2", 50}}},
		{"callersWithinClass", []callerLoad{{normal, "192.0.2.1", 30}, {urgent, "192.0.2.1", 35}, {urgent, "192.0.2.2", 35}}},
		{"oneNetworkIsOneCaller", []callerLoad{{normal, "2001:db8::1", 25}, {normal, "2001:db8::2", 25}, {normal, "192.0.2.2", 50}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := DefaultSettings()
			s.Slots, s.Depth, s.MaxWait = 1, 1000, time.Hour
			s.OverloadInterval = time.Hour
			q := NewQueue(s)
			first, _ := q.Admit(balsampier.Request{Caller: netip.MustParseAddr("192.0.2.99")}, startTime)
			owner := make([]int, 1+1+len(tt.loads)*200)
			for range 200 {
				for i, l := range tt.loads {
					k, _ := q.Admit(balsampier.Request{Class: l.class, Caller: netip.MustParseAddr(l.caller)}, startTime)
					owner[k] = i
				}
			}
			got, now, running := make([]int, len(tt.loads)), startTime, first
			for range 100 {
				now = now.Add(defaultServiceTime)
				q.Finish(running, now)
				start, _ := q.Next(now)
				c.Assert(start, qt.HasLen, 1)
				running = start[0]
				got[owner[running]]++
			}
			for i, l := range tt.loads {
				c.Check(got[i] >= l.want-3 && got[i] <= l.want+3, qt.IsTrue, qt.Commentf("%v, load %d", got, i))
			}
		})
	}
}

func TestLimitFollowsTheServer(t *testing.T) {
	c := qt.New(t)
	l := newLimit(10)
	now := startTime
	step := func(n int, d time.Duration, f func()) {
		for range n {
			now = now.Add(d)
			f()
		}
	}
	step(5, time.Millisecond, func() { l.lower(now) })
	c.Assert(l.slots(), qt.Equals, 7, qt.Commentf("a burst counts only once"))
	step(100, 10*time.Millisecond, func() { l.raise(now) })
	c.Assert(l.slots(), qt.Equals, 9, qt.Commentf("stays below the level at which the server shed load"))
	step(100, time.Second, func() { l.raise(now) })
	c.Assert(l.slots(), qt.Equals, 10)
	step(100, time.Second, func() { l.lower(now) })
	c.Assert(l.slots(), qt.Equals, 1)
}

// TestEveryRequestEndsOnce calls the queue at random. A ticket must start or be
// refused at most once and never after it was cancelled, the limits must hold,
// and in the end no request may be left waiting.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		s := DefaultSettings()
		s.Slots, s.Depth, s.MaxConnections = 1+pick(4), 1+pick(6), 2
		q, now := NewQueue(s), startTime
		var waiting, running, streams []balsampier.Ticket
		begin := func(k balsampier.Ticket) {
			running = append(running, k)
			if len(running) > s.Slots {
				t.Fatalf("%d requests run in %d slots", len(running), s.Slots)
			}
		}
		next := func() {
			start, refuse := q.Next(now)
			for _, k := range slices.Concat(start, refuse) {
				i := slices.Index(waiting, k)
				if i < 0 {
					t.Fatalf("ticket %d started or refused, but not waiting", k)
				}
				waiting = slices.Delete(waiting, i, i+1)
			}
			for _, k := range start {
				begin(k)
			}
			for _, k := range refuse {
				if r, ok := q.Refusal(k); !ok || r.Reason == 0 || r.RetryAfter < minRetryAfter || r.RetryAfter > maxRetryAfter {
					t.Fatalf("refusal %+v", r)
				}
			}
		}
		removeRandom := func(ks *[]balsampier.Ticket) balsampier.Ticket {
			i := pick(len(*ks))
			k := (*ks)[i]
			*ks = slices.Delete(*ks, i, i+1)
			return k
		}
		for range 150 {
			switch n := pick(10); {
			case n < 4:
				r := balsampier.Request{Class: balsampier.Class(pick(2)), Caller: netip.AddrFrom4([4]byte{192, 0, 2, byte(pick(5))})}
				if pick(2) == 0 {
					r.Deadline = now.Add(time.Duration(pick(500)) * time.Millisecond)
				}
				k, a := q.Admit(r, now)
				switch a {
				case balsampier.AdmissionRun:
					begin(k)
				case balsampier.AdmissionQueued:
					waiting = append(waiting, k)
				}
			case n == 4 && len(waiting) > 0:
				q.Cancel(removeRandom(&waiting), now)
			case n == 5 && len(running) > 0:
				q.Shed(removeRandom(&running), now)
			case n == 6 && len(running) > 0:
				k := removeRandom(&running)
				if q.ConvertToConnection(k, now) {
					streams = append(streams, k)
				} else {
					q.Finish(k, now)
				}
			case n == 7 && len(streams) > 0:
				q.Finish(removeRandom(&streams), now)
			case n == 8 && len(running) > 0:
				q.Finish(removeRandom(&running), now)
			default:
				now = now.Add(time.Duration(pick(300)) * time.Millisecond)
				next()
			}
			l := q.Load()
			if l.Queued > 2*s.Depth || l.Running != len(running) || l.Connections != len(streams) || l.Slots > s.Slots || l.Slots < 1 {
				t.Fatalf("load %+v", l)
			}
		}
		for range 1000 {
			now = now.Add(s.MaxWait)
			next()
			for len(running) > 0 {
				q.Finish(removeRandom(&running), now)
			}
			if len(waiting) == 0 {
				return
			}
		}
		t.Fatalf("%d requests neither start nor are refused", len(waiting))
	})
}
