// Package models holds the models that chiveramp-check explores. Each runs the production
// code of one decision against a small simulated store, network and endpoints, which may
// fail at any step.
package models

import "github.com/chiveramp/chiveramp/internal/explore"

// Mechanism is a part of the code, or a property of the store or endpoint it relies on,
// that can be turned off to show that the invariant depends on it.
type Mechanism struct {
	Name    string
	Purpose string
}

// Model is one invariant and the code that is responsible for it.
type Model struct {
	Name string
	// Promise is the invariant in words.
	Promise string
	// CodeUnderTest names the production code that runs in the model.
	CodeUnderTest string
	Mechanisms    []Mechanism
	// Start returns the first state with the given mechanism turned off, none if empty.
	Start func(disabled string) explore.State
}

// Mechanism returns a mechanism by name.
func (m Model) Mechanism(name string) (Mechanism, bool) {
	for _, one := range m.Mechanisms {
		if one.Name == name {
			return one, true
		}
	}
	return Mechanism{}, false
}

// All returns every model, sorted by name.
func All() []Model {
	return []Model{allotmentsModel(), claimsModel(), documentModel(), handoverModel(), leavingModel(), memoryModel(), ordersModel(), repeatsModel(), residenceModel(), returnsModel()}
}

// Find returns a model by name.
func Find(name string) (Model, bool) {
	for _, m := range All() {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}
