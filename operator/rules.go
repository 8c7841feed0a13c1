package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/rulefile"
)

const (
	pathRules  = "/v1/rules"
	pathStatus = "/v1/status"

	// bodyOverheadBytes is the limit for the fields of a submission other than
	// its text.
	bodyOverheadBytes = 64 << 10
)

type (
	// RuleCommands changes the accepted rule file.
	RuleCommands interface {
		// Submit proposes a rule file and returns the outcome and the problems
		// of the file.
		Submit(c context.Context, b balsampier.Submission) (balsampier.SubmissionAnswer, []balsampier.Problem, error)
	}

	// RuleQueries reads the accepted rule file and its roll-out status.
	RuleQueries interface {
		// Rules returns the accepted rule file.
		Rules(c context.Context) (balsampier.RuleFile, error)
		// Status returns the roll-out status of the accepted rule file.
		Status(c context.Context) (Status, error)
	}

	// SubmitBody is the request body of a submission.
	SubmitBody struct {
		// ID identifies the submission, so that resending it is idempotent.
		ID balsampier.SubmissionID `json:"id"`
		// Base is the revision that the file was edited from.
		Base balsampier.Revision `json:"base"`
		// Text is the content of the rule file.
		Text string `json:"text"`
	}

	// SubmitResponse is the response to a submission, whether it was accepted
	// or lost to a conflicting one.
	SubmitResponse struct {
		ID       balsampier.SubmissionID `json:"id"`
		Accepted bool                    `json:"accepted"`
		// Revision is the revision of the submitted file if it was accepted,
		// otherwise the accepted revision that it conflicts with.
		Revision balsampier.Revision `json:"revision"`
		// Problems are the warnings about an accepted file.
		Problems []Problem `json:"problems,omitempty"`
	}

	// RulesResponse is the response with the accepted rule file.
	RulesResponse struct {
		Revision   balsampier.Revision `json:"revision"`
		AcceptedAt time.Time           `json:"acceptedAt"`
		Text       string              `json:"text"`
		// Zones are the compiled tables of the time zones in Text, which all
		// instances use.
		Zones []Zone `json:"zones,omitempty"`
	}

	// Zone lists the transitions of a time zone.
	Zone struct {
		// Zone is the IANA name.
		Zone string `json:"zone"`
		// Transitions are sorted by time. The offset of the first one applies
		// to all earlier instants too.
		Transitions []Transition `json:"transitions"`
	}

	// Transition is one change of a time zone's UTC offset.
	Transition struct {
		// At is the instant from which Offset applies.
		At time.Time `json:"at"`
		// Offset is the offset east of UTC.
		Offset Duration `json:"offset"`
	}
)

// AddRules adds the handlers that submit and read rules and read the roll-out
// status. Only control instances have them.
func (s *Server) AddRules(m RuleCommands, q RuleQueries) {
	s.HandlePrivate(pathRules, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			handleSubmit(w, r, m)
			return
		}
		f, err := q.Rules(r.Context())
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, newRulesResponse(f))
	}, http.MethodGet, http.MethodPost)
	s.HandlePrivate(pathStatus, func(w http.ResponseWriter, r *http.Request) {
		v, err := q.Status(r.Context())
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, v)
	}, http.MethodGet)
}

func handleSubmit(w http.ResponseWriter, r *http.Request, m RuleCommands) {
	var b SubmitBody
	// JSON may escape each byte of the text as six bytes, such as \u0000.
	if err := readJSON(w, r, 6*rulefile.MaxBytes+bodyOverheadBytes, &b); err != nil {
		WriteError(w, err)
		return
	}
	if b.ID == (balsampier.SubmissionID{}) {
		WriteError(w, balsampier.NewError(balsampier.KindInvalid, "read submission", "send a UUID as id", nil))
		return
	}
	a, ps, err := m.Submit(r.Context(), balsampier.Submission{ID: b.ID, Base: b.Base, Text: b.Text})
	if err != nil {
		WriteError(w, err, ps...)
		return
	}
	code := http.StatusOK
	if !a.Accepted {
		code = http.StatusConflict
	}
	WriteJSON(w, code, SubmitResponse{ID: a.ID, Accepted: a.Accepted, Revision: a.Revision, Problems: encodeProblems(ps)})
}

func newRulesResponse(f balsampier.RuleFile) RulesResponse {
	a := RulesResponse{Revision: f.Revision, AcceptedAt: f.AcceptedAt, Text: f.Text}
	for _, z := range f.Zones {
		v := Zone{Zone: z.Zone}
		for _, t := range z.Transitions {
			v.Transitions = append(v.Transitions, Transition{At: t.At, Offset: Duration(t.Offset)})
		}
		a.Zones = append(a.Zones, v)
	}
	return a
}

// Warnings returns the warnings about an accepted file.
func (a SubmitResponse) Warnings() []balsampier.Problem { return decodeProblems(a.Problems) }

// ZoneTables returns the time zone tables of the accepted file.
func (a RulesResponse) ZoneTables() []balsampier.ZoneTable {
	out := make([]balsampier.ZoneTable, 0, len(a.Zones))
	for _, z := range a.Zones {
		v := balsampier.ZoneTable{Zone: z.Zone}
		for _, t := range z.Transitions {
			v.Transitions = append(v.Transitions, balsampier.Transition{At: t.At, Offset: time.Duration(t.Offset)})
		}
		out = append(out, v)
	}
	return out
}
