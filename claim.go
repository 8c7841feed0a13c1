package balsampier

type (
	// ClaimGroup is the membership of one service in one claim epoch.
	ClaimGroup struct {
		// Epoch is the epoch of the view in which the service last changed, so
		// that it only grows.
		Epoch Epoch
		// Members are all agents of the service.
		Members []Holder
		// Holders are the members that keep claims; draining members are not
		// among them.
		Holders []Holder
		// Base is the newest epoch before Epoch that was active, zero when
		// there was none.
		Base Epoch
		// BaseHolders are the holders of Base.
		BaseHolders []Holder
	}

	// ClaimState is what control has committed about the claims of a service.
	ClaimState struct {
		// Group is the newest published group; a member that has it is sent
		// its epoch only.
		Group ClaimGroup
		// Active is the newest epoch whose holders have all copied the claims;
		// it is at most Group.Epoch.
		Active Epoch
		// AsOf is the view that Group was made from, or a later one in which
		// the service is the same.
		AsOf Epoch
	}
)
