// Package telemetry builds a process's logger, metrics handler and tracer from its
// configuration.
package telemetry

import (
	"io"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveramp/chiveramp/pkg/config"
)

// maxValueBytes is the size to which the values of log lines are cut: clients choose some of them.
const maxValueBytes = 512

// NewLogger returns a levelled logger that writes to w. Each line has the time and the
// instance's name.
func NewLogger(w io.Writer, c config.Config) log.Logger {
	l := log.Logger(shortLogger{newFormatLogger(log.NewSyncWriter(w), c.Log.Format)})
	l = level.NewFilter(l, levelOption(c.Log.Level))
	return log.With(l, "time", log.TimestampFormat(time.Now, time.RFC3339Nano), "instance", c.Instance.Name)
}

func newFormatLogger(w io.Writer, f config.Format) log.Logger {
	if f == config.FormatJSON {
		return log.NewJSONLogger(w)
	}
	return log.NewLogfmtLogger(w)
}

// shortLogger cuts long values.
type shortLogger struct{ next log.Logger }

// Log implements log.Logger.
func (l shortLogger) Log(keyvals ...any) error {
	for i := 1; i < len(keyvals); i += 2 {
		if text := textOf(keyvals[i]); len(text) > maxValueBytes {
			keyvals = slices.Clone(keyvals)
			keyvals[i] = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
		}
	}
	return l.next.Log(keyvals...)
}

// textOf returns the text of a string or an error, empty for another value.
func textOf(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case error:
		if r := reflect.ValueOf(v); r.Kind() != reflect.Pointer || !r.IsNil() {
			return v.Error()
		}
	}
	return ""
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
