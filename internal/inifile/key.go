package inifile

// Key describes one key for documentation.
type Key struct {
	// Section and Name say where it stands.
	Section string
	Name    string
	// Want says in words which values are allowed.
	Want string
	// Default is the value that holds when the key is absent, empty when there is none.
	Default string
	// Required says that it must be given.
	Required bool
}

// Keys describes fields whose variables hold their defaults.
func Keys(section string, fields []Field) []Key {
	keys := make([]Key, 0, len(fields))
	for _, f := range fields {
		k := Key{Section: section, Name: f.Key, Want: f.Want, Required: f.Required}
		if !f.Required {
			k.Default = f.Value()
		}
		keys = append(keys, k)
	}
	return keys
}
