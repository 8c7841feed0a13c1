package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/rulefile"
)

const (
	pathRules  = "/v1/rules"
	pathStatus = "/v1/status"

	// bodySlackBytes is the room for the fields beside the text.
	bodySlackBytes = 64 << 10
)

type (
	// RuleCommands changes the rules.
	RuleCommands interface {
		// Submit proposes a rule file and returns its answer.
		Submit(c context.Context, b balsampier.Submission) (balsampier.SubmissionAnswer, []balsampier.Problem, error)
	}

	// RuleQueries only answers.
	RuleQueries interface {
		// Rules returns the accepted rule file.
		Rules(c context.Context) (balsampier.RuleFile, error)
		// Status returns the roll-out of the accepted rule file.
		Status(c context.Context) (Status, error)
	}

	// SubmitBody is the body of a submission.
	SubmitBody struct {
		ID   balsampier.SubmissionID `json:"id"`
		Base balsampier.Revision     `json:"base"`
		Text string                  `json:"text"`
	}

	// SubmitAnswer is the answer to a submission.
	SubmitAnswer struct {
		ID       balsampier.SubmissionID `json:"id"`
		Accepted bool                    `json:"accepted"`
		// Revision is the accepted revision, or the one that won.
		Revision balsampier.Revision  `json:"revision"`
		Problems []balsampier.Problem `json:"problems,omitempty"`
	}

	// RulesAnswer is the accepted rule file.
	RulesAnswer struct {
		Revision   balsampier.Revision `json:"revision"`
		AcceptedAt time.Time           `json:"acceptedAt"`
		Text       string              `json:"text"`
	}

	// Status is the roll-out of the accepted rule file.
	Status struct {
		Revision balsampier.Revision `json:"revision"`
		Epoch    balsampier.Epoch    `json:"epoch"`
		Leader   string              `json:"leader"`
		Members  []MemberStatus      `json:"members"`
	}

	// MemberStatus is one member's part in the roll-out.
	MemberStatus struct {
		Name       string                 `json:"name"`
		Role       string                 `json:"role"`
		DataCentre balsampier.DataCentre  `json:"dataCentre,omitempty"`
		Service    balsampier.ServiceName `json:"service,omitempty"`
		Draining   bool                   `json:"draining,omitempty"`
		// InForce is the revision that the member reported last.
		InForce balsampier.Revision `json:"inForce"`
	}
)

// AddRules adds the rule commands and queries to a control instance's port.
func (s *Server) AddRules(m RuleCommands, q RuleQueries) {
	s.HandlePrivate(pathRules, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			submit(w, r, m)
			return
		}
		f, err := q.Rules(r.Context())
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, RulesAnswer{Revision: f.Revision, AcceptedAt: f.AcceptedAt, Text: f.Text})
	})
	s.HandlePrivate(pathStatus, func(w http.ResponseWriter, r *http.Request) {
		v, err := q.Status(r.Context())
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, v)
	})
}

func submit(w http.ResponseWriter, r *http.Request, m RuleCommands) {
	var b SubmitBody
	// JSON may escape every byte of the text as six.
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 6*rulefile.MaxBytes+bodySlackBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		WriteError(w, balsampier.NewError(balsampier.KindInvalid, "read submission", "send id, base and text as JSON", err))
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
	WriteJSON(w, code, SubmitAnswer{ID: a.ID, Accepted: a.Accepted, Revision: a.Revision, Problems: ps})
}
