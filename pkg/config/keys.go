package config

import "github.com/chiveramp/chiveramp/internal/inifile"

// Key describes one settings key.
type Key = inifile.Key

// Keys describes every settings key of Config, in section order.
func Keys() []Key {
	c := Default()
	var keys []Key
	for _, s := range sections(&c) {
		keys = append(keys, inifile.Keys(s.name, s.fields)...)
	}
	return keys
}
