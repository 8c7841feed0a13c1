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

// EncodeCompletions returns the log record of what holders say of the claims
// that they have copied.
func EncodeCompletions(cs []apply.Completion) ([]byte, error) {
	b, err := proto.Marshal(&peerpb.LogEntry{Change: &peerpb.LogEntry_Completions{
		Completions: &peerpb.Completions{List: putCompletions(cs)},
	}})
	return b, trace.Wrap(err)
}

func putCompletions(cs []apply.Completion) []*peerpb.Completion {
	var out []*peerpb.Completion
	for _, c := range cs {
		out = append(out, &peerpb.Completion{Service: string(c.Service), Holder: putHolder(c.Holder), Epoch: uint64(c.Epoch)})
	}
	return out
}

func completions(ps []*peerpb.Completion) []apply.Completion {
	var out []apply.Completion
	for _, p := range ps {
		out = append(out, apply.Completion{
			Service: balsampier.ServiceName(p.GetService()), Holder: holder(p.GetHolder()), Epoch: balsampier.Epoch(p.GetEpoch()),
		})
	}
	return out
}

func putGroup(g balsampier.ClaimGroup) *peerpb.ClaimGroup {
	return &peerpb.ClaimGroup{
		Epoch: uint64(g.Epoch), Members: putHolders(g.Members), Holders: putHolders(g.Holders),
		Base: uint64(g.Base), BaseHolders: putHolders(g.BaseHolders),
	}
}

func group(p *peerpb.ClaimGroup) balsampier.ClaimGroup {
	return balsampier.ClaimGroup{
		Epoch: balsampier.Epoch(p.GetEpoch()), Members: holders(p.GetMembers()), Holders: holders(p.GetHolders()),
		Base: balsampier.Epoch(p.GetBase()), BaseHolders: holders(p.GetBaseHolders()),
	}
}

func putClaimState(s balsampier.ClaimState) *peerpb.ClaimState {
	return &peerpb.ClaimState{Group: putGroup(s.Group), Active: uint64(s.Active), AsOf: uint64(s.AsOf)}
}

func claimState(p *peerpb.ClaimState) balsampier.ClaimState {
	return balsampier.ClaimState{
		Group: group(p.GetGroup()), Active: balsampier.Epoch(p.GetActive()), AsOf: balsampier.Epoch(p.GetAsOf()),
	}
}

// putActivations sorts by service, so that equal states have equal snapshots.
func putActivations(m map[balsampier.ServiceName]claim.Activation) []*peerpb.Activation {
	var out []*peerpb.Activation
	for _, n := range slices.Sorted(maps.Keys(m)) {
		a := m[n]
		out = append(out, &peerpb.Activation{
			Service: string(n), Group: putGroup(a.Group), Base: putGroup(a.Base), Complete: putHolders(a.Complete),
		})
	}
	return out
}

func activations(ps []*peerpb.Activation) map[balsampier.ServiceName]claim.Activation {
	m := make(map[balsampier.ServiceName]claim.Activation, len(ps))
	for _, p := range ps {
		m[balsampier.ServiceName(p.GetService())] = claim.Activation{
			Group: group(p.GetGroup()), Base: group(p.GetBase()), Complete: holders(p.GetComplete()),
		}
	}
	return m
}
