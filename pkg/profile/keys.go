package profile

import "github.com/chiveramp/chiveramp/internal/inifile"

// Key describes one document key.
type Key = inifile.Key

// Keys describes every document key, grouped by kind of section.
func Keys() []Key {
	p, m, s := newProfile(""), newModel(""), newService("")
	keys := inifile.Keys(kindProfile, profileFields(&p))
	keys = append(keys, inifile.Keys(kindModel, modelFields(&m))...)
	return append(keys, inifile.Keys(kindService, serviceFields(&s))...)
}
