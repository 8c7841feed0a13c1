package operator

import "github.com/balsampier/balsampier"

// maxProblems limits the problems of a rule file in one response.
const maxProblems = 1000

// Problem is the JSON form of balsampier.Problem.
type Problem struct {
	// Line and Column count from 1.
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Found   string `json:"found,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// Warning is true for problems that do not prevent the file from being
	// accepted.
	Warning bool `json:"warning,omitempty"`
}

// encodeProblems returns at most maxProblems of ps, errors before warnings.
func encodeProblems(ps []balsampier.Problem) []Problem {
	var out []Problem
	for _, warning := range []bool{false, true} {
		for _, p := range ps {
			if p.Warning == warning && len(out) < maxProblems {
				out = append(out, Problem(p))
			}
		}
	}
	return out
}

func decodeProblems(ps []Problem) []balsampier.Problem {
	out := make([]balsampier.Problem, 0, len(ps))
	for _, p := range ps {
		out = append(out, balsampier.Problem(p))
	}
	return out
}
