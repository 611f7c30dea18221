package config

import "github.com/chiveramp/chiveramp/internal/inifile"

// Key describes one key of the settings.
type Key = inifile.Key

// Keys describes every key of the settings, in the order of the sections.
func Keys() []Key {
	c := Default()
	var keys []Key
	for _, s := range sections(&c) {
		keys = append(keys, inifile.Keys(s.name, s.fields)...)
	}
	return keys
}
