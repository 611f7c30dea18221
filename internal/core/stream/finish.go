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

// scanEnding looks for the finish reason and the usage of an answer of one choice.
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
