package replicate

// String returns the name of the role as it stands in dumps.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}
