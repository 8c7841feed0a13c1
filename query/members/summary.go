package members

import "github.com/balsampier/balsampier"

// MaxListed limits the members listed in a summary or status.
const MaxListed = 200

type (
	// Summary is a size-limited summary of a view for dumps.
	Summary struct {
		Balancers int `json:"balancers"`
		Agents    int `json:"agents"`
		Draining  int `json:"draining"`
		// Listed holds at most MaxListed members.
		Listed []ListedMember `json:"listed"`
		// Omitted is the number of members that are not in Listed.
		Omitted int `json:"omitted"`
	}

	// ListedMember is one member in a summary.
	ListedMember struct {
		Name        string                 `json:"name"`
		Role        string                 `json:"role"`
		Incarnation balsampier.Incarnation `json:"incarnation"`
		Addr        string                 `json:"address"`
		Service     balsampier.ServiceName `json:"service,omitempty"`
		Draining    bool                   `json:"draining,omitempty"`
	}
)

// Summarize returns the summary of v.
func Summarize(v balsampier.View) Summary {
	var s Summary
	for _, m := range v.Members {
		switch m.Role {
		case balsampier.RoleBalancer:
			s.Balancers++
		case balsampier.RoleAgent:
			s.Agents++
		case balsampier.RoleControl, balsampier.RoleRelay, balsampier.RoleUnknown:
		}
		if m.Draining {
			s.Draining++
		}
		if len(s.Listed) == MaxListed {
			s.Omitted++
			continue
		}
		s.Listed = append(s.Listed, ListedMember{
			Name: m.Name, Role: m.Role.String(), Incarnation: m.Incarnation,
			Addr: m.Addr.String(), Service: m.Service, Draining: m.Draining,
		})
	}
	return s
}
