package balsampier

type (
	// ClaimGroup is the membership of one service in one claim epoch. Claims
	// record which keyed requests were taken, so that each runs at most once.
	ClaimGroup struct {
		// Epoch is the epoch of the view in which the service's membership last
		// changed; it never decreases.
		Epoch Epoch
		// Members are all agents of the service.
		Members []Holder
		// Holders are the members that store claims; draining members are
		// excluded.
		Holders []Holder
		// Base is the newest claim epoch before Epoch that was active; zero if
		// there was none.
		Base Epoch
		// BaseHolders are the holders in epoch Base.
		BaseHolders []Holder
	}

	// ClaimState is the state that the control instances have committed for
	// the claims of a service.
	ClaimState struct {
		// Group is the newest published group. A member that already has it
		// receives only its epoch.
		Group ClaimGroup
		// Active is the newest claim epoch whose holders have all copied the
		// claims; it is at most Group.Epoch.
		Active Epoch
		// AsOf is the epoch of the view from which Group was built, or of a
		// later one in which the service has not changed.
		AsOf Epoch
	}
)
