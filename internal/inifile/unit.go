package inifile

import (
	"math"
	"strconv"
	"strings"
	"time"
)

type unit struct {
	suffix string
	bytes  int64
}

// units are in descending order. B is last, since all other suffixes end in it.
var units = []unit{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// ParseSize parses a size such as 8MiB into bytes.
func ParseSize(text string) (int64, bool) {
	for _, u := range units {
		digits, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 63)
		if err != nil || n > uint64(math.MaxInt64/u.bytes) {
			return 0, false
		}
		return int64(n) * u.bytes, true
	}
	return 0, false
}

// FormatSize formats a number of bytes exactly, in the largest unit that divides it.
func FormatSize(n int64) string {
	for _, u := range units {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return "0B"
}

// FormatDuration formats a duration exactly and without trailing zero units, as in
// 10m or 1m30s.
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
