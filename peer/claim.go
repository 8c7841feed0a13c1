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
	// ClaimHandler serves the calls between the agents of a service. Every
	// call names the agent incarnation that it is meant for; another
	// incarnation refuses it with KindUnavailable.
	ClaimHandler interface {
		// Claim grants or refuses a claim on behalf of holder to.
		Claim(c context.Context, to balsampier.Holder, m claim.Claim) (claim.Reply, error)
		// Release releases a claim stored at holder to.
		Release(c context.Context, to balsampier.Holder, r claim.Release) error
		// Copy returns the claims that the requesting holder needs.
		Copy(c context.Context, to balsampier.Holder, q claim.CopyRequest) (claim.CopyReply, error)
		// Outcome returns what runner to knows of a request. While the request
		// is running, it waits before it replies.
		Outcome(c context.Context, to balsampier.Holder, k balsampier.RequestKey, f answer.Fingerprint) (answer.Result, error)
	}

	claimServer struct {
		key        Key
		rpcHandler ClaimHandler
	}
)

var _ ClaimHandler = (*InstanceClient)(nil)

// AddClaims registers the services that agents call on each other.
func (s *Server) AddClaims(k Key, h ClaimHandler) error {
	v := &claimServer{key: k, rpcHandler: h}
	if err := peerpb.DRPCRegisterClaimCommand(s.mux, v); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(peerpb.DRPCRegisterClaimQuery(s.mux, v))
}

// Claim requests a claim from holder to.
func (l *InstanceClient) Claim(c context.Context, to balsampier.Holder, m claim.Claim) (claim.Reply, error) {
	var r claim.Reply
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCClaimCommandClient(n).Claim(c, &peerpb.ClaimRequest{
			Epoch: uint64(m.Epoch), Key: m.Key[:], Runner: encodeHolder(m.Runner), Since: uint64(m.FirstAttempt),
			Attempt: uint64(m.Attempt), Probe: m.Probe, To: encodeHolder(to),
		})
		if err != nil {
			return err
		}
		r = claim.Reply{
			Epoch: balsampier.Epoch(p.GetEpoch()), From: decodeHolder(p.GetFrom()), Attempt: claim.Attempt(p.GetAttempt()),
			Decision: claim.Decision(p.GetDecision()), Runner: decodeHolder(p.GetRunner()),
		}
		r.Key, err = decodeRequestKey(p.GetKey())
		return err
	})
	return r, err
}

// Release releases a claim stored at holder to.
func (l *InstanceClient) Release(c context.Context, to balsampier.Holder, r claim.Release) error {
	return l.call(c, func(c context.Context, n drpc.Conn) error {
		_, err := peerpb.NewDRPCClaimCommandClient(n).Release(c, &peerpb.ClaimRelease{
			Key: r.Key[:], Runner: encodeHolder(r.Runner), Since: uint64(r.FirstAttempt), Attempt: uint64(r.Attempt), To: encodeHolder(to),
		})
		return err
	})
}

// Copy fetches the claims that holder to stores.
func (l *InstanceClient) Copy(c context.Context, to balsampier.Holder, q claim.CopyRequest) (claim.CopyReply, error) {
	var r claim.CopyReply
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCClaimQueryClient(n).Copy(c, &peerpb.ClaimCopyRequest{
			Epoch: uint64(q.Epoch), From: encodeHolder(q.From), To: encodeHolder(to),
		})
		if err != nil {
			return err
		}
		r, err = decodeCopyReply(p)
		return err
	})
	return r, err
}

// Outcome queries runner to for the outcome of a request.
func (l *InstanceClient) Outcome(c context.Context, to balsampier.Holder, k balsampier.RequestKey, f answer.Fingerprint) (answer.Result, error) {
	var r answer.Result
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCClaimQueryClient(n).Outcome(c, &peerpb.OutcomeRequest{
			Key: k[:], Fingerprint: uint64(f), Runner: encodeHolder(to),
		})
		r = decodeOutcome(p)
		return err
	})
	return r, err
}

// Claim implements the generated drpc server interface.
func (s *claimServer) Claim(c context.Context, q *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	if err := s.key.verifyProof(c); err != nil {
		return nil, err
	}
	k, err := decodeRequestKey(q.GetKey())
	if err != nil {
		return nil, encodeError(err)
	}
	r, err := s.rpcHandler.Claim(c, decodeHolder(q.GetTo()), claim.Claim{
		Epoch: balsampier.Epoch(q.GetEpoch()), Key: k, Runner: decodeHolder(q.GetRunner()),
		FirstAttempt: claim.Attempt(q.GetSince()), Attempt: claim.Attempt(q.GetAttempt()), Probe: q.GetProbe(),
	})
	if err != nil {
		return nil, encodeError(err)
	}
	return &peerpb.ClaimResponse{
		Epoch: uint64(r.Epoch), Key: r.Key[:], From: encodeHolder(r.From), Attempt: uint64(r.Attempt),
		Decision: uint32(r.Decision), Runner: encodeHolder(r.Runner),
	}, nil
}

// Release implements the generated drpc server interface.
func (s *claimServer) Release(c context.Context, q *peerpb.ClaimRelease) (*peerpb.ReleaseResponse, error) {
	if err := s.key.verifyProof(c); err != nil {
		return nil, err
	}
	k, err := decodeRequestKey(q.GetKey())
	if err != nil {
		return nil, encodeError(err)
	}
	return &peerpb.ReleaseResponse{}, encodeError(s.rpcHandler.Release(c, decodeHolder(q.GetTo()), claim.Release{
		Key: k, Runner: decodeHolder(q.GetRunner()), FirstAttempt: claim.Attempt(q.GetSince()), Attempt: claim.Attempt(q.GetAttempt()),
	}))
}

// Copy implements the generated drpc server interface.
func (s *claimServer) Copy(c context.Context, q *peerpb.ClaimCopyRequest) (*peerpb.ClaimCopyResponse, error) {
	if err := s.key.verifyProof(c); err != nil {
		return nil, err
	}
	r, err := s.rpcHandler.Copy(c, decodeHolder(q.GetTo()), claim.CopyRequest{Epoch: balsampier.Epoch(q.GetEpoch()), From: decodeHolder(q.GetFrom())})
	if err != nil {
		return nil, encodeError(err)
	}
	return encodeCopyReply(r), nil
}

// Outcome implements the generated drpc server interface.
func (s *claimServer) Outcome(c context.Context, q *peerpb.OutcomeRequest) (*peerpb.OutcomeResponse, error) {
	if err := s.key.verifyProof(c); err != nil {
		return nil, err
	}
	k, err := decodeRequestKey(q.GetKey())
	if err != nil {
		return nil, encodeError(err)
	}
	r, err := s.rpcHandler.Outcome(c, decodeHolder(q.GetRunner()), k, answer.Fingerprint(q.GetFingerprint()))
	if err != nil {
		return nil, encodeError(err)
	}
	return encodeOutcome(r), nil
}
