package inifile

// Key describes one key for documentation.
type Key struct {
	// Section and Name locate the key.
	Section string
	Name    string
	// Want describes the allowed values.
	Want string
	// Default is the value used when the key is absent, empty if there is no default.
	Default string
	// Required makes it an error to leave out the key.
	Required bool
}

// Keys describes fields. Their variables must hold the defaults.
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
