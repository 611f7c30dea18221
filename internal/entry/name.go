package entry

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	modelField       = "model"
	adapterSeparator = ":" // between a model and its adapter at engines
)

// engineName is the name under which engines know what a caller asked for.
func engineName(t profile.Target) string {
	if t.Adapter == "" {
		return string(t.Loaded())
	}
	return string(t.Loaded()) + adapterSeparator + t.Adapter
}

// setModelName returns a chat body that asks for a model by another name.
func setModelName(body []byte, name string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("name model: %w", err)
	}
	for field := range fields {
		if strings.EqualFold(field, modelField) {
			delete(fields, field)
		}
	}
	text, err := json.Marshal(name)
	if err != nil {
		return nil, fmt.Errorf("name model: %w", err)
	}
	fields[modelField] = text
	return json.Marshal(fields)
}
