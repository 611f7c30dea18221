// Package telemetry builds a process's logger, metrics handler and tracer from its
// configuration.
package telemetry

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveramp/chiveramp/pkg/config"
)

// NewLogger returns a levelled logger that writes to w. Each line has the time and the
// instance's name.
func NewLogger(w io.Writer, c config.Config) log.Logger {
	l := newFormatLogger(log.NewSyncWriter(w), c.Log.Format)
	l = level.NewFilter(l, levelOption(c.Log.Level))
	return log.With(l, "time", log.TimestampFormat(time.Now, time.RFC3339Nano), "instance", c.Instance.Name)
}

func newFormatLogger(w io.Writer, f config.Format) log.Logger {
	if f == config.FormatJSON {
		return log.NewJSONLogger(w)
	}
	return log.NewLogfmtLogger(w)
}

func levelOption(l config.Level) level.Option {
	switch l {
	case config.LevelDebug:
		return level.AllowDebug()
	case config.LevelWarn:
		return level.AllowWarn()
	case config.LevelError:
		return level.AllowError()
	default:
		return level.AllowInfo()
	}
}
