package peer

import (
	"time"

	"github.com/google/uuid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/peer/peerpb"
)

func decodeRequestKey(b []byte) (balsampier.RequestKey, error) {
	k, err := uuid.FromBytes(b)
	if err != nil {
		return k, balsampier.NewError(balsampier.KindInvalid, "decode request key", "run the same version on all instances", err)
	}
	return k, nil
}

func encodeCopyReply(r claim.CopyReply) *peerpb.ClaimCopyResponse {
	p := &peerpb.ClaimCopyResponse{Epoch: uint64(r.Epoch), From: encodeHolder(r.From), Incomplete: r.Incomplete}
	if !r.Floor.IsZero() {
		p.FloorUnixNanos = r.Floor.UnixNano()
	}
	for _, c := range r.Records {
		p.Records = append(p.Records, &peerpb.ClaimRecord{
			Key: c.Key[:], Runner: encodeHolder(c.Runner), Attempt: uint64(c.Attempt), Released: c.Released,
		})
	}
	return p
}

func decodeCopyReply(p *peerpb.ClaimCopyResponse) (claim.CopyReply, error) {
	r := claim.CopyReply{Epoch: balsampier.Epoch(p.GetEpoch()), From: decodeHolder(p.GetFrom()), Incomplete: p.GetIncomplete()}
	if n := p.GetFloorUnixNanos(); n != 0 {
		r.Floor = time.Unix(0, n)
	}
	for _, c := range p.GetRecords() {
		k, err := decodeRequestKey(c.GetKey())
		if err != nil {
			return r, err
		}
		r.Records = append(r.Records, claim.Record{
			Key: k, Runner: decodeHolder(c.GetRunner()), Attempt: claim.Attempt(c.GetAttempt()), Released: c.GetReleased(),
		})
	}
	return r, nil
}

func encodeOutcome(r answer.Result) *peerpb.OutcomeResponse {
	p := &peerpb.OutcomeResponse{State: uint32(r.State)}
	if r.Answer == nil {
		return p
	}
	p.Status, p.Body = uint32(r.Answer.Status), r.Answer.Body
	for _, f := range r.Answer.Fields {
		p.Fields = append(p.Fields, &peerpb.AnswerField{Name: f.Name, Value: f.Value})
	}
	return p
}

func decodeOutcome(p *peerpb.OutcomeResponse) answer.Result {
	r := answer.Result{State: answer.State(p.GetState())}
	if r.State != answer.StateAnswered {
		return r
	}
	r.Answer = &answer.Answer{Status: int(p.GetStatus()), Body: p.GetBody()}
	for _, f := range p.GetFields() {
		r.Answer.Fields = append(r.Answer.Fields, answer.Field{Name: f.GetName(), Value: f.GetValue()})
	}
	return r
}
