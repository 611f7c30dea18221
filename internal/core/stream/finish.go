package stream

import (
	"encoding/json"
	"time"
)

// Finished reports whether the pieces passed on are a complete chat answer of one choice:
// a piece with the finish reason has arrived, so that only the end marker is missing. If
// the request enables usage, the usage piece must have arrived too. It returns false
// for an answer whose start is not retained, or that has several choices.
func (a *Assembly) Finished(now time.Time, body []byte) bool {
	if a.adopted || a.replay.startDropped(now) {
		return false
	}
	var options struct {
		Options struct {
			Usage bool `json:"include_usage"`
		} `json:"stream_options"`
		Choices *int `json:"n"`
	}
	if err := json.Unmarshal(body, &options); err != nil || options.Choices != nil && *options.Choices != 1 {
		return false
	}
	finished, usage := scanEnding(a.replay.piecesFrom(0))
	return finished && (usage || !options.Options.Usage)
}

// scanEnding reports whether the pieces of a single-choice answer contain the finish
// reason and the usage.
func scanEnding(pieces []Piece) (finished, usage bool) {
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
