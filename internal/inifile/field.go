package inifile

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Field binds one key to a variable.
type Field struct {
	// Key is the key's name.
	Key string
	// Want describes the allowed values, for error messages and documentation.
	Want string
	// Required makes it an error to leave out the key.
	Required bool

	set func(text string) bool
	get func() string
}

// Value returns the variable's current value in the form used in the file.
func (f Field) Value() string { return f.get() }

// AsRequired returns a copy of the field whose key must be given.
func (f Field) AsRequired() Field {
	f.Required = true
	return f
}

// WithWant returns a copy of the field with another description of the allowed values.
func (f Field) WithWant(want string) Field {
	f.Want = want
	return f
}

const (
	wantText     = "a text"
	wantName     = "a name of letters, digits, dot, dash or underscore"
	wantNames    = "a comma list of names"
	wantAddress  = "IP:port such as 10.0.0.1:7080"
	wantHostPort = "host:port such as 10.0.0.1:7080"
	wantSize     = "a size with a unit B, KiB, MiB, GiB or TiB, such as 8MiB"
	wantDuration = "a duration with a unit ms, s, m or h, such as 500ms"
	wantURL      = "a URL such as http://10.0.0.1:8500"
	wantShare    = "a share from 0 to 1"
	wantBool     = "yes or no"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// IsName reports whether text is a name of letters, digits, dot, dash and
// underscore, 128 bytes at most.
func IsName(text string) bool { return namePattern.MatchString(text) }

// Text binds a key to a non-empty text.
func Text(key string, target *string) Field {
	return Field{
		Key: key, Want: wantText,
		set: func(text string) bool {
			*target = text
			return text != ""
		},
		get: func() string { return *target },
	}
}

// Name binds a key to a name.
func Name(key string, target *string) Field {
	return stringField(key, wantName, target, IsName)
}

// Address binds a key to an IP address with a port.
func Address(key string, target *string) Field {
	return stringField(key, wantAddress, target, func(text string) bool {
		a, err := netip.ParseAddrPort(text)
		return err == nil && a.Addr().Zone() == ""
	})
}

// HostPort binds a key to a host with a port above zero.
func HostPort(key string, target *string) Field {
	return stringField(key, wantHostPort, target, isHostPort)
}

// URL binds a key to an http or https URL.
func URL(key string, target *string) Field {
	return stringField(key, wantURL, target, func(text string) bool {
		u, err := url.Parse(text)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	})
}

// Choice binds a key to one of the given options.
func Choice[T ~string](key string, target *T, options ...T) Field {
	words := make([]string, 0, len(options))
	for _, o := range options {
		words = append(words, string(o))
	}
	return Field{
		Key: key, Want: "one of " + strings.Join(words, ", "),
		set: func(text string) bool {
			*target = T(text)
			return slices.Contains(options, T(text))
		},
		get: func() string { return string(*target) },
	}
}

// Names binds a key to a comma-separated list without duplicates. Each part must
// pass check; nil stands for IsName.
func Names(key string, target *[]string, check func(string) bool) Field {
	if check == nil {
		check = IsName
	}
	return Field{
		Key: key, Want: wantNames,
		set: func(text string) bool {
			list, valid := SplitList(text, check)
			*target = list
			return valid
		},
		get: func() string { return strings.Join(*target, ", ") },
	}
}

// HostPorts binds a key to a comma-separated list of host:port.
func HostPorts(key string, target *[]string) Field {
	return Names(key, target, isHostPort).WithWant("a comma list of host:port")
}

// Duration binds a key to a duration of at least minimum.
func Duration(key string, target *time.Duration, minimum time.Duration) Field {
	want := wantDuration
	if minimum > 0 {
		want += ", " + minimum.String() + " at least"
	}
	return Field{
		Key: key, Want: want,
		set: func(text string) bool {
			d, err := time.ParseDuration(text)
			*target = d
			return err == nil && d >= minimum && text != "0"
		},
		get: func() string { return FormatDuration(*target) },
	}
}

// Size binds a key to a size in bytes of at least minimum.
func Size(key string, target *int64, minimum int64) Field {
	want := wantSize
	if minimum > 0 {
		want += ", " + FormatSize(minimum) + " at least"
	}
	return Field{
		Key: key, Want: want,
		set: func(text string) bool {
			n, valid := ParseSize(text)
			*target = n
			return valid && n >= minimum
		},
		get: func() string { return FormatSize(*target) },
	}
}

// Count binds a key to an integer from minimum to maximum, both included.
func Count(key string, target *int, minimum, maximum int) Field {
	return Field{
		Key: key, Want: "a whole number from " + strconv.Itoa(minimum) + " to " + strconv.Itoa(maximum),
		set: func(text string) bool {
			n, err := strconv.Atoi(text)
			*target = n
			return err == nil && n >= minimum && n <= maximum
		},
		get: func() string { return strconv.Itoa(*target) },
	}
}

// Share binds a key to a number from 0 to 1.
func Share(key string, target *float64) Field {
	return Number(key, target, 0, 1).WithWant(wantShare)
}

// Rate binds a key to a number above 0.
func Rate(key string, target *float64) Field {
	return Number(key, target, math.SmallestNonzeroFloat64, math.MaxFloat64).WithWant("a number above 0")
}

// Number binds a key to a floating-point number from minimum to maximum, both included.
func Number(key string, target *float64, minimum, maximum float64) Field {
	return Field{
		Key: key, Want: fmt.Sprintf("a number from %g to %g", minimum, maximum),
		set: func(text string) bool {
			n, err := strconv.ParseFloat(text, 64)
			*target = n
			return err == nil && n >= minimum && n <= maximum
		},
		get: func() string { return strconv.FormatFloat(*target, 'g', -1, 64) },
	}
}

// Bool binds a key to yes or no.
func Bool(key string, target *bool) Field {
	return Field{
		Key: key, Want: wantBool,
		set: func(text string) bool {
			*target = text == "yes"
			return text == "yes" || text == "no"
		},
		get: func() string {
			if *target {
				return "yes"
			}
			return "no"
		},
	}
}

// Custom binds a key to a value that set parses and get formats.
func Custom(key, want string, set func(text string) bool, get func() string) Field {
	return Field{Key: key, Want: want, set: set, get: get}
}

// stringField binds a key to a string that must pass check.
func stringField(key, want string, target *string, check func(string) bool) Field {
	return Field{
		Key: key, Want: want,
		set: func(text string) bool {
			*target = text
			return check(text)
		},
		get: func() string { return *target },
	}
}

// SplitList returns the parts of a comma-separated list. It reports false when a
// part is a duplicate or doesn't pass check.
func SplitList(text string, check func(string) bool) ([]string, bool) {
	if text == "" {
		return nil, true
	}
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if !check(part) || slices.Contains(list, part) {
			return nil, false
		}
		list = append(list, part)
	}
	return list, true
}

func isHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(host, " \t/") {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
