package stream

import (
	"encoding/json"
	"time"
)

// Finished tells whether the pieces passed on hold a whole chat answer of one choice:
// its last text has the finish reason, so that only the end marker is missing. A request
// that asked for the usage needs that piece too. Not to be told of an answer whose start
// is not at hand, or that has several choices.
func (a *Assembly) Finished(now time.Time, body []byte) bool {
	if a.adopted || a.kept.dropped(now) {
		return false
	}
	var asked struct {
		Options struct {
			Usage bool `json:"include_usage"`
		} `json:"stream_options"`
		Choices *int `json:"n"`
	}
	if err := json.Unmarshal(body, &asked); err != nil || asked.Choices != nil && *asked.Choices != 1 {
		return false
	}
	finished, usage := ending(a.kept.from(0))
	return finished && (usage || !asked.Options.Usage)
}

// ending looks for the finish reason and the usage of an answer of one choice.
func ending(pieces []Piece) (finished, usage bool) {
	for _, p := range pieces {
		var chunk struct {
			chatChunk
			Usage json.RawMessage `json:"usage"`
		}
		if err := json.Unmarshal(p.Data, &chunk); err != nil || len(chunk.Choices) > 1 {
			return false, false
		}
		if len(chunk.Choices) == 1 {
			choice := chunk.Choices[0]
			if choice.Index != 0 || finished {
				return false, false
			}
			finished = choice.Finish != nil && *choice.Finish != ""
		}
		usage = usage || len(chunk.Usage) > 0 && string(chunk.Usage) != "null"
	}
	return finished, usage
}
