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

// stream reads one stream and checks each of its lines. The end of c ends no
// stream, so that its outcome is seen.
func (v *one) stream(c context.Context) error {
	r, err := http.NewRequestWithContext(context.WithoutCancel(c), http.MethodGet, v.URL, nil)
	if err != nil {
		return err
	}
	a, err := v.h.Do(r)
	if err != nil {
		// No stream was established.
		v.record(outcomeLost, "-", "", "")
		return v.tolerate(c, err)
	}
	defer func() { _ = a.Body.Close() }()
	server := a.Header.Get(backend.HeaderServer)
	if a.StatusCode != http.StatusOK {
		v.record(outcomeRefused, "-", "", server)
		return v.tolerate(c, balsampier.NewError(balsampier.KindNotRun, "read stream", "see the status", errors.New(a.Status)))
	}
	n, began := 0, v.Clock.Now()
	s := bufio.NewScanner(a.Body)
	for s.Scan() {
		n++
		if s.Text() != fmt.Sprintf("%s line %d", a.Header.Get(backend.HeaderService), n) || !strings.HasPrefix(s.Text(), v.Service) {
			v.record(outcomeWrong, "-", s.Text(), server)
			return balsampier.NewError(balsampier.KindCorrupt, "read stream", "a line is missing or of another stream", fmt.Errorf("line %d is %q", n, s.Text()))
		}
	}
	span := fmt.Sprintf("%d lines from %d to %d", n, began.Unix(), v.Clock.Now().Unix())
	if err := s.Err(); err != nil {
		v.record(outcomeCut, "-", span, server)
		return v.tolerate(c, trace.Wrap(err, "the stream broke after %d lines", n))
	}
	v.record(outcomeWhole, "-", span, server)
	v.print(fmt.Sprintf("stream whole: %d lines\n", n))
	return nil
}

// tolerate returns no error in a run by the clock, whose ledger tells.
func (v *one) tolerate(c context.Context, err error) error {
	if v.end.IsZero() {
		return err
	}
	v.pause(c)
	return nil
}
