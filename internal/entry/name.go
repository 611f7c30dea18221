package entry

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	modelField       = "model"
	adapterSeparator = ":" // between model and adapter in the names that engines use
)

// engineName returns the name that engines use for the model and adapter of a target.
func engineName(t profile.Target) string {
	if t.Adapter == "" {
		return string(t.LoadedModel())
	}
	return string(t.LoadedModel()) + adapterSeparator + t.Adapter
}

// setModelName returns a chat body with another model name. All fields whose names
// equal it except for case are replaced.
func setModelName(body []byte, name string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("set model name: %w", err)
	}
	for field := range fields {
		if strings.EqualFold(field, modelField) {
			delete(fields, field)
		}
	}
	text, err := json.Marshal(name)
	if err != nil {
		return nil, fmt.Errorf("set model name: %w", err)
	}
	fields[modelField] = text
	return json.Marshal(fields)
}
