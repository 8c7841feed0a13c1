package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/standin/backend"
)

// readStream reads one stream to its end and checks each line. The end of c
// does not cancel it, so that its outcome is seen.
func (v *callerClient) readStream(c context.Context) error {
	r, err := http.NewRequestWithContext(context.WithoutCancel(c), http.MethodGet, v.URL, nil)
	if err != nil {
		return err
	}
	a, err := v.httpClient.Do(r)
	if err != nil {
		// The response never began, so that no stream was cut.
		v.recordOutcome(outcomeLost, "-", "", "")
		return v.ignoreIfTimed(c, err)
	}
	defer func() { _ = a.Body.Close() }()
	server := a.Header.Get(backend.HeaderServer)
	if a.StatusCode != http.StatusOK {
		v.recordOutcome(outcomeRefused, "-", "", server)
		return v.ignoreIfTimed(c, balsampier.NewError(balsampier.KindNotRun, "read stream", "see the status", errors.New(a.Status)))
	}
	n, startedAt := 0, v.Clock.Now()
	s := bufio.NewScanner(a.Body)
	for s.Scan() {
		n++
		if s.Text() != fmt.Sprintf("%s line %d", a.Header.Get(backend.HeaderService), n) || !strings.HasPrefix(s.Text(), v.Service) {
			v.recordOutcome(outcomeWrong, "-", s.Text(), server)
			return balsampier.NewError(balsampier.KindCorrupt, "read stream", "a line is missing or of another stream", fmt.Errorf("line %d is %q", n, s.Text()))
		}
	}
	summary := fmt.Sprintf("%d lines from %d to %d", n, startedAt.Unix(), v.Clock.Now().Unix())
	if err := s.Err(); err != nil {
		v.recordOutcome(outcomeCut, "-", summary, server)
		return v.ignoreIfTimed(c, trace.Wrap(err, "the stream broke after %d lines", n))
	}
	v.recordOutcome(outcomeWhole, "-", summary, server)
	v.print(fmt.Sprintf("stream whole: %d lines\n", n))
	return nil
}

// ignoreIfTimed returns err. In a run with a Duration, whose ledger holds the
// outcome, it waits for retryDelay and returns nil instead.
func (v *callerClient) ignoreIfTimed(c context.Context, err error) error {
	if v.deadline.IsZero() {
		return err
	}
	v.waitRetryDelay(c)
	return nil
}
