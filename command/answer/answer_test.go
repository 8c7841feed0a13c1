package answer

import (
	"flag"
	"os"
	"strconv"
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

func TestSettings(t *testing.T) {
	tests := []struct {
		name string
		s    Settings
		want balsampier.Kind
	}{
		{"defaults", Settings{}, 0},
		{"partial", Settings{Retention: time.Minute}, balsampier.KindInvalid},
		{"answerLargerThanAll", Settings{time.Minute, 1, 1, 2, 1}, balsampier.KindInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := tt.s.Check()
			qt.New(t).Assert(balsampier.KindOf(err), qt.Equals, tt.want)
		})
	}
}

// model is the expected state of one key.
type model struct {
	runs []RunID
	// outcome is the outcome of the last run.
	outcome State
	body    string
	waiting []WaiterID
}

// TestAnswersGoToTheirOwnRequestsOnly sends the table answers that are late,
// repeated or of other runs. Every answer that the table returns must belong to
// the last run of its key, and every waiter is returned exactly once.
func TestAnswersGoToTheirOwnRequestsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{Retention: time.Minute, MaxEntries: 4, MaxBytes: 64, MaxAnswerBytes: 40, MaxWaiters: 2}
		b := New(s)
		now := time.Unix(1_800_000_000, 0)
		models := make([]model, 6)
		var waiter WaiterID
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		checkWaiters := func(m *model, ws []WaiterID, run RunID) {
			if len(ws) > 0 && (run != m.runs[len(m.runs)-1] || m.outcome != StatePending) {
				t.Fatalf("run %d notified waiters %v", run, ws)
			}
			if m.outcome == StatePending && run == m.runs[len(m.runs)-1] && len(ws) != len(m.waiting) {
				t.Fatalf("notified waiters %v, want %v", ws, m.waiting)
			}
		}
		for range 200 {
			i := pick(len(models))
			m, k, p := &models[i], balsampier.RequestKey{byte(i)}, Fingerprint(i)
			switch pick(5) {
			case 0:
				run, err := b.Open(k, p, now)
				if err != nil {
					continue
				}
				if m.outcome == StatePending || m.outcome == StateAnswered {
					t.Fatal("opened a request that ran or may still run")
				}
				*m = model{runs: append(m.runs, run), outcome: StatePending}
			case 1:
				r := b.Lookup(k, p, waiter, now)
				if r.State == StatePending {
					m.waiting = append(m.waiting, waiter)
					waiter++
				}
				if r.State == StateAnswered && string(r.Answer.Body) != m.body {
					t.Fatalf("got %q, want %q", r.Answer.Body, m.body)
				}
				if (r.State == StateAnswered || r.State == StateNotRun) && r.State != m.outcome {
					t.Fatalf("got %d, want %d", r.State, m.outcome)
				}
				if b.Lookup(k, p+1, waiter, now).Answer != nil {
					t.Fatal("returned an answer for a different request with the same key")
				}
			case 2, 3:
				if len(m.runs) == 0 {
					continue
				}
				run := m.runs[pick(len(m.runs))]
				current := run == m.runs[len(m.runs)-1] && m.outcome == StatePending
				body := strconv.Itoa(int(run)) + "/" + strconv.Itoa(i) + "0123456789012345678901234567890123456789"[:pick(40)]
				newOutcome := StateAnswered
				switch pick(3) {
				case 0:
					checkWaiters(m, b.Store(k, run, &Answer{Status: 200, Body: []byte(body)}, now), run)
				case 1:
					checkWaiters(m, b.RecordNotRun(k, run, now), run)
					newOutcome = StateNotRun
				default:
					checkWaiters(m, b.RecordUnknown(k, run, now), run)
					newOutcome = StateUnknown
				}
				if current {
					m.outcome, m.body, m.waiting = newOutcome, body, nil
				}
			default:
				now = now.Add(time.Duration(pick(20)) * time.Second)
				b.Expire(now)
				for j := range models {
					if _, ok := b.entries[balsampier.RequestKey{byte(j)}]; !ok {
						models[j].outcome = StateAbsent
					}
				}
			}
			if b.Len() > s.MaxEntries || b.Bytes() > s.MaxBytes || len(b.completedRuns) > 2*s.MaxEntries+1 || len(b.stored) > 2*s.MaxEntries+1 {
				t.Fatalf("%d entries, %d bytes, %d completed, %d stored", b.Len(), b.Bytes(), len(b.completedRuns), len(b.stored))
			}
		}
	})
}
