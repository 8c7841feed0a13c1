package app

import (
	"cmp"
	"math"
	"strconv"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/admit"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/settings"
)

// setRequestDefaults sets the defaults of the packages that enforce the limits.
func (s *Settings) setRequestDefaults() {
	a := admit.DefaultSettings()
	c, _ := claim.Settings{}.Check()
	w, _ := answer.Settings{}.Check()
	s.MaxWait, s.TargetWait = cmp.Or(s.MaxWait, a.MaxWait), cmp.Or(s.TargetWait, a.TargetWait)
	s.UrgentShare = cmp.Or(s.UrgentShare, a.Weights[balsampier.ClassUrgent])
	s.ClaimRetention = cmp.Or(s.ClaimRetention, c.Retention)
	s.MaxClockSkew, s.MaxClaims = cmp.Or(s.MaxClockSkew, c.MaxSkew), cmp.Or(s.MaxClaims, c.MaxClaims)
	s.MaxAnswers, s.AnswerBytes = cmp.Or(s.MaxAnswers, w.MaxEntries), cmp.Or(s.AnswerBytes, w.MaxBytes)
	s.MaxAnswerBytes = cmp.Or(s.MaxAnswerBytes, w.MaxAnswerBytes)
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, defaultMaxBodyBytes)
}

// checkRequests adds a fault for each invalid limit.
func (s *Settings) checkRequests(f *settings.Faults) {
	f.Positive("targetWait", int(s.TargetWait))
	f.Positive("claimRetention", int(s.ClaimRetention))
	f.Positive("maxClockSkew", int(s.MaxClockSkew))
	f.Positive("maxClaims", s.MaxClaims)
	f.Positive("maxAnswers", s.MaxAnswers)
	f.Positive("maxAnswerBytes", s.MaxAnswerBytes)
	f.Positive("maxBodyBytes", s.MaxBodyBytes)
	if s.MaxWait < s.TargetWait {
		f.Add("maxWait", s.MaxWait.String(), "set it no lower than targetWait")
	}
	if s.UrgentShare <= 0 || s.UrgentShare >= 1 {
		f.Add("urgentShare", strconv.FormatFloat(s.UrgentShare, 'g', -1, 64), "set it between 0 and 1")
	}
	if s.MaxClockSkew >= s.ClaimRetention {
		f.Add("maxClockSkew", s.MaxClockSkew.String(), "set it below claimRetention")
	}
	if s.AnswerBytes < s.MaxAnswerBytes {
		f.Add("answerBytes", strconv.Itoa(s.AnswerBytes), "set it no lower than maxAnswerBytes")
	}
}

// admission returns the settings of the queue. Slots is zero until the backend
// server announces its slots.
func (s *Settings) admission() admit.Settings {
	a := admit.DefaultSettings()
	a.Slots, a.Depth, a.MaxWait, a.TargetWait = 0, s.QueueDepth, s.MaxWait, s.TargetWait
	// The limit of connections is announced by the backend server and enforced
	// when a stream starts.
	a.MaxConnections = math.MaxInt32
	a.Weights[balsampier.ClassNormal], a.Weights[balsampier.ClassUrgent] = 1-s.UrgentShare, s.UrgentShare
	return a
}

func (s *Settings) claims() claim.Settings {
	return claim.Settings{Retention: s.ClaimRetention, MaxSkew: s.MaxClockSkew, MaxClaims: s.MaxClaims}
}

func (s *Settings) answers() answer.Settings {
	w, _ := answer.Settings{}.Check()
	w.Retention, w.MaxEntries = s.ClaimRetention+s.MaxClockSkew, s.MaxAnswers
	w.MaxBytes, w.MaxAnswerBytes = s.AnswerBytes, s.MaxAnswerBytes
	return w
}
