package config

import "time"

// Default returns the default settings.
func Default() Config {
	return Config{
		Caller: Caller{
			Body:        8 << 20,
			Header:      64 << 10,
			Connections: 4096,
			Idle:        2 * time.Minute,
			Keep:        10 * time.Second,
		},
		Peer:     Peer{Beat: time.Second},
		Platform: Platform{Lease: 10 * time.Second, Timeout: 2 * time.Second, Instances: "chiveramp"},
		Endpoint: Endpoint{
			Slots: 16, Timeout: time.Minute,
			Prefill: 9000, Pass: 10 * time.Millisecond, Each: time.Millisecond, Gap: 61 * time.Millisecond,
		},
		Weights: Weights{Rate: 1, Slots: 4},
		Limits: Limits{
			Streams: 2048,
			Retries: 2,
			Drain:   30 * time.Second,
			Resume:  time.Minute,
			Bodies:  32 << 20,
			Heads:   64 << 20,
			Replay:  1 << 20,
		},
		Log:   Log{Level: LevelInfo, Format: FormatLogfmt},
		Trace: Trace{Sample: 1},
	}
}
