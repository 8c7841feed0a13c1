package peer

import (
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/peer/peerpb"
)

// EncodeCompletions encodes the log record of the epochs for which holders
// report that they have copied all claims.
func EncodeCompletions(cs []apply.Completion) ([]byte, error) {
	b, err := proto.Marshal(&peerpb.LogEntry{Change: &peerpb.LogEntry_Completions{
		Completions: &peerpb.Completions{List: encodeCompletions(cs)},
	}})
	return b, trace.Wrap(err)
}

func encodeCompletions(cs []apply.Completion) []*peerpb.Completion {
	var out []*peerpb.Completion
	for _, c := range cs {
		out = append(out, &peerpb.Completion{Service: string(c.Service), Holder: encodeHolder(c.Holder), Epoch: uint64(c.Epoch)})
	}
	return out
}

func decodeCompletions(ps []*peerpb.Completion) []apply.Completion {
	var out []apply.Completion
	for _, p := range ps {
		out = append(out, apply.Completion{
			Service: balsampier.ServiceName(p.GetService()), Holder: decodeHolder(p.GetHolder()), Epoch: balsampier.Epoch(p.GetEpoch()),
		})
	}
	return out
}

func encodeGroup(g balsampier.ClaimGroup) *peerpb.ClaimGroup {
	return &peerpb.ClaimGroup{
		Epoch: uint64(g.Epoch), Members: encodeHolders(g.Members), Holders: encodeHolders(g.Holders),
		Base: uint64(g.Base), BaseHolders: encodeHolders(g.BaseHolders),
	}
}

func decodeGroup(p *peerpb.ClaimGroup) balsampier.ClaimGroup {
	return balsampier.ClaimGroup{
		Epoch: balsampier.Epoch(p.GetEpoch()), Members: decodeHolders(p.GetMembers()), Holders: decodeHolders(p.GetHolders()),
		Base: balsampier.Epoch(p.GetBase()), BaseHolders: decodeHolders(p.GetBaseHolders()),
	}
}

func encodeClaimState(s balsampier.ClaimState) *peerpb.ClaimState {
	return &peerpb.ClaimState{Group: encodeGroup(s.Group), Active: uint64(s.Active), AsOf: uint64(s.AsOf)}
}

func decodeClaimState(p *peerpb.ClaimState) balsampier.ClaimState {
	return balsampier.ClaimState{
		Group: decodeGroup(p.GetGroup()), Active: balsampier.Epoch(p.GetActive()), AsOf: balsampier.Epoch(p.GetAsOf()),
	}
}

// encodeActivations sorts by service, so that equal states are encoded to equal
// snapshots.
func encodeActivations(m map[balsampier.ServiceName]claim.Activation) []*peerpb.Activation {
	var out []*peerpb.Activation
	for _, n := range slices.Sorted(maps.Keys(m)) {
		a := m[n]
		out = append(out, &peerpb.Activation{
			Service: string(n), Group: encodeGroup(a.Group), Base: encodeGroup(a.Base), Complete: encodeHolders(a.Complete),
		})
	}
	return out
}

func decodeActivations(ps []*peerpb.Activation) map[balsampier.ServiceName]claim.Activation {
	m := make(map[balsampier.ServiceName]claim.Activation, len(ps))
	for _, p := range ps {
		m[balsampier.ServiceName(p.GetService())] = claim.Activation{
			Group: decodeGroup(p.GetGroup()), Base: decodeGroup(p.GetBase()), Complete: decodeHolders(p.GetComplete()),
		}
	}
	return m
}
