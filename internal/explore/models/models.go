// Package models holds the models that chiveramp-check explores. Each joins the real
// code of a decision to a small store, network and endpoints that may fail at any step.
package models

import "github.com/chiveramp/chiveramp/internal/explore"

// Mechanism is a part of the code, or of what it relies on, that can be turned off.
type Mechanism struct {
	Name    string
	Purpose string
}

// Model is one promise with the code that keeps it.
type Model struct {
	Name    string
	Promise string
	// CodeUnderTest names the code that runs in the model.
	CodeUnderTest string
	Mechanisms    []Mechanism
	// Start returns the first state with one mechanism off, none when empty.
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

// All returns every model, by name.
func All() []Model {
	return []Model{claimsModel(), documentModel(), leavingModel(), memoryModel(), ordersModel(), repeatsModel(), residenceModel()}
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
