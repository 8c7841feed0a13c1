package peer

import (
	"context"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/peer/peerpb"
)

type (
	// ClaimHandler answers the calls between the agents of a service. Every
	// call names the run of the agent that is asked; another run refuses it
	// as unavailable.
	ClaimHandler interface {
		// Claim decides on a claim as holder to.
		Claim(c context.Context, to balsampier.Holder, m claim.Claim) (claim.Reply, error)
		// Release withdraws a claim at holder to.
		Release(c context.Context, to balsampier.Holder, r claim.Release) error
		// Copy returns the claims that the asking holder needs.
		Copy(c context.Context, to balsampier.Holder, q claim.CopyRequest) (claim.CopyReply, error)
		// Outcome returns what runner to knows of a request, after a wait when
		// it is under way.
		Outcome(c context.Context, to balsampier.Holder, k balsampier.RequestKey, f answer.Fingerprint) (answer.Result, error)
	}

	claimServer struct {
		key Key
		h   ClaimHandler
	}
)

var _ ClaimHandler = (*InstanceClient)(nil)

// AddClaims adds the services between agents.
func (s *Server) AddClaims(k Key, h ClaimHandler) error {
	v := &claimServer{key: k, h: h}
	if err := peerpb.DRPCRegisterClaimCommand(s.mux, v); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(peerpb.DRPCRegisterClaimQuery(s.mux, v))
}

// Claim asks holder to for a claim.
func (l *InstanceClient) Claim(c context.Context, to balsampier.Holder, m claim.Claim) (claim.Reply, error) {
	var r claim.Reply
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCClaimCommandClient(n).Claim(c, &peerpb.ClaimRequest{
			Epoch: uint64(m.Epoch), Key: m.Key[:], Runner: putHolder(m.Runner), Since: uint64(m.FirstAttempt),
			Attempt: uint64(m.Attempt), Probe: m.Probe, To: putHolder(to),
		})
		if err != nil {
			return err
		}
		r = claim.Reply{
			Epoch: balsampier.Epoch(p.GetEpoch()), From: holder(p.GetFrom()), Attempt: claim.Attempt(p.GetAttempt()),
			Decision: claim.Decision(p.GetDecision()), Runner: holder(p.GetRunner()),
		}
		r.Key, err = requestKey(p.GetKey())
		return err
	})
	return r, err
}

// Release withdraws a claim at holder to.
func (l *InstanceClient) Release(c context.Context, to balsampier.Holder, r claim.Release) error {
	return l.call(c, func(c context.Context, n drpc.Conn) error {
		_, err := peerpb.NewDRPCClaimCommandClient(n).Release(c, &peerpb.ClaimRelease{
			Key: r.Key[:], Runner: putHolder(r.Runner), Since: uint64(r.FirstAttempt), Attempt: uint64(r.Attempt), To: putHolder(to),
		})
		return err
	})
}

// Copy asks holder to for its claims.
func (l *InstanceClient) Copy(c context.Context, to balsampier.Holder, q claim.CopyRequest) (claim.CopyReply, error) {
	var r claim.CopyReply
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCClaimQueryClient(n).Copy(c, &peerpb.ClaimCopyRequest{
			Epoch: uint64(q.Epoch), From: putHolder(q.From), To: putHolder(to),
		})
		if err != nil {
			return err
		}
		r, err = copyReply(p)
		return err
	})
	return r, err
}

// Outcome asks runner to for the outcome of a request.
func (l *InstanceClient) Outcome(c context.Context, to balsampier.Holder, k balsampier.RequestKey, f answer.Fingerprint) (answer.Result, error) {
	var r answer.Result
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCClaimQueryClient(n).Outcome(c, &peerpb.OutcomeRequest{
			Key: k[:], Fingerprint: uint64(f), Runner: putHolder(to),
		})
		r = outcome(p)
		return err
	})
	return r, err
}

// Claim implements the drpc service.
func (s *claimServer) Claim(c context.Context, q *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	if err := s.key.check(c); err != nil {
		return nil, err
	}
	k, err := requestKey(q.GetKey())
	if err != nil {
		return nil, encodeError(err)
	}
	r, err := s.h.Claim(c, holder(q.GetTo()), claim.Claim{
		Epoch: balsampier.Epoch(q.GetEpoch()), Key: k, Runner: holder(q.GetRunner()),
		FirstAttempt: claim.Attempt(q.GetSince()), Attempt: claim.Attempt(q.GetAttempt()), Probe: q.GetProbe(),
	})
	if err != nil {
		return nil, encodeError(err)
	}
	return &peerpb.ClaimResponse{
		Epoch: uint64(r.Epoch), Key: r.Key[:], From: putHolder(r.From), Attempt: uint64(r.Attempt),
		Decision: uint32(r.Decision), Runner: putHolder(r.Runner),
	}, nil
}

// Release implements the drpc service.
func (s *claimServer) Release(c context.Context, q *peerpb.ClaimRelease) (*peerpb.ReleaseResponse, error) {
	if err := s.key.check(c); err != nil {
		return nil, err
	}
	k, err := requestKey(q.GetKey())
	if err != nil {
		return nil, encodeError(err)
	}
	return &peerpb.ReleaseResponse{}, encodeError(s.h.Release(c, holder(q.GetTo()), claim.Release{
		Key: k, Runner: holder(q.GetRunner()), FirstAttempt: claim.Attempt(q.GetSince()), Attempt: claim.Attempt(q.GetAttempt()),
	}))
}

// Copy implements the drpc service.
func (s *claimServer) Copy(c context.Context, q *peerpb.ClaimCopyRequest) (*peerpb.ClaimCopyResponse, error) {
	if err := s.key.check(c); err != nil {
		return nil, err
	}
	r, err := s.h.Copy(c, holder(q.GetTo()), claim.CopyRequest{Epoch: balsampier.Epoch(q.GetEpoch()), From: holder(q.GetFrom())})
	if err != nil {
		return nil, encodeError(err)
	}
	return putCopyReply(r), nil
}

// Outcome implements the drpc service.
func (s *claimServer) Outcome(c context.Context, q *peerpb.OutcomeRequest) (*peerpb.OutcomeResponse, error) {
	if err := s.key.check(c); err != nil {
		return nil, err
	}
	k, err := requestKey(q.GetKey())
	if err != nil {
		return nil, encodeError(err)
	}
	r, err := s.h.Outcome(c, holder(q.GetRunner()), k, answer.Fingerprint(q.GetFingerprint()))
	if err != nil {
		return nil, encodeError(err)
	}
	return putOutcome(r), nil
}
