package profile

import "time"

// Default values of keys that a document leaves out.
const (
	defaultDeadline = time.Minute
	defaultRank     = RankStandard
	defaultCap      = 1.0
	defaultRetries  = 1
	defaultCopies   = 1
)

func newProfile(name string) Profile {
	return Profile{Name: name, Rank: defaultRank, Deadline: defaultDeadline, Cap: defaultCap, Retries: defaultRetries}
}

func newModel(name string) Model {
	return Model{Name: name, Copies: defaultCopies}
}

func newService(name string) Service {
	return Service{Name: name}
}
