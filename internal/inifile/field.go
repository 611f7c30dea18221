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
	// Want says in words which values are allowed.
	Want string
	// Needed says that the key must be given.
	Needed bool

	set func(text string) bool
	get func() string
}

// Value returns the variable's present value as the text that would set it.
func (f Field) Value() string { return f.get() }

// Must returns the field as one that has to be given.
func (f Field) Must() Field {
	f.Needed = true
	return f
}

// Saying returns the field with other words for what is allowed.
func (f Field) Saying(want string) Field {
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
	wantTruth    = "yes or no"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// IsName reports whether text is a name of letters, digits, dot, dash and
// underscore, 128 bytes at most.
func IsName(text string) bool { return namePattern.MatchString(text) }

// Text binds a key to a non-empty text.
func Text(key string, to *string) Field {
	return Field{
		Key: key, Want: wantText,
		set: func(text string) bool {
			*to = text
			return text != ""
		},
		get: func() string { return *to },
	}
}

// Name binds a key to a name.
func Name(key string, to *string) Field {
	return checked(key, wantName, to, IsName)
}

// Address binds a key to an IP address with a port.
func Address(key string, to *string) Field {
	return checked(key, wantAddress, to, func(text string) bool {
		a, err := netip.ParseAddrPort(text)
		return err == nil && a.Addr().Zone() == ""
	})
}

// HostPort binds a key to a host with a port above zero.
func HostPort(key string, to *string) Field {
	return checked(key, wantHostPort, to, isHostPort)
}

// URL binds a key to an http or https URL.
func URL(key string, to *string) Field {
	return checked(key, wantURL, to, func(text string) bool {
		u, err := url.Parse(text)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	})
}

// Choice binds a key to one of several words.
func Choice[T ~string](key string, to *T, options ...T) Field {
	words := make([]string, 0, len(options))
	for _, o := range options {
		words = append(words, string(o))
	}
	return Field{
		Key: key, Want: "one of " + strings.Join(words, ", "),
		set: func(text string) bool {
			*to = T(text)
			return slices.Contains(options, T(text))
		},
		get: func() string { return string(*to) },
	}
}

// Names binds a key to a comma list of names, each given once. The check is IsName when nil.
func Names(key string, to *[]string, check func(string) bool) Field {
	if check == nil {
		check = IsName
	}
	return Field{
		Key: key, Want: wantNames,
		set: func(text string) bool {
			list, valid := Split(text, check)
			*to = list
			return valid
		},
		get: func() string { return strings.Join(*to, ", ") },
	}
}

// HostPorts binds a key to a comma list of host:port.
func HostPorts(key string, to *[]string) Field {
	return Names(key, to, isHostPort).Saying("a comma list of host:port")
}

// Duration binds a key to a duration of at least the given one.
func Duration(key string, to *time.Duration, least time.Duration) Field {
	want := wantDuration
	if least > 0 {
		want += ", " + least.String() + " at least"
	}
	return Field{
		Key: key, Want: want,
		set: func(text string) bool {
			d, err := time.ParseDuration(text)
			*to = d
			return err == nil && d >= least && text != "0"
		},
		get: func() string { return FormatDuration(*to) },
	}
}

// Size binds a key to a number of bytes of at least the given one.
func Size(key string, to *int64, least int64) Field {
	want := wantSize
	if least > 0 {
		want += ", " + FormatSize(least) + " at least"
	}
	return Field{
		Key: key, Want: want,
		set: func(text string) bool {
			n, valid := ParseSize(text)
			*to = n
			return valid && n >= least
		},
		get: func() string { return FormatSize(*to) },
	}
}

// Count binds a key to a whole number between two bounds.
func Count(key string, to *int, least, most int) Field {
	return Field{
		Key: key, Want: "a whole number from " + strconv.Itoa(least) + " to " + strconv.Itoa(most),
		set: func(text string) bool {
			n, err := strconv.Atoi(text)
			*to = n
			return err == nil && n >= least && n <= most
		},
		get: func() string { return strconv.Itoa(*to) },
	}
}

// Share binds a key to a number from 0 to 1.
func Share(key string, to *float64) Field {
	return Number(key, to, 0, 1).Saying(wantShare)
}

// Rate binds a key to a number above 0.
func Rate(key string, to *float64) Field {
	return Number(key, to, math.SmallestNonzeroFloat64, math.MaxFloat64).Saying("a number above 0")
}

// Number binds a key to a number between two bounds.
func Number(key string, to *float64, least, most float64) Field {
	return Field{
		Key: key, Want: fmt.Sprintf("a number from %g to %g", least, most),
		set: func(text string) bool {
			n, err := strconv.ParseFloat(text, 64)
			*to = n
			return err == nil && n >= least && n <= most
		},
		get: func() string { return strconv.FormatFloat(*to, 'g', -1, 64) },
	}
}

// Truth binds a key to yes or no.
func Truth(key string, to *bool) Field {
	return Field{
		Key: key, Want: wantTruth,
		set: func(text string) bool {
			*to = text == "yes"
			return text == "yes" || text == "no"
		},
		get: func() string {
			if *to {
				return "yes"
			}
			return "no"
		},
	}
}

// Custom binds a key to functions of its own.
func Custom(key, want string, set func(text string) bool, get func() string) Field {
	return Field{Key: key, Want: want, set: set, get: get}
}

func checked(key, want string, to *string, check func(string) bool) Field {
	return Field{
		Key: key, Want: want,
		set: func(text string) bool {
			*to = text
			return check(text)
		},
		get: func() string { return *to },
	}
}

// Split returns the parts of a comma list, each given once and passed by the check.
func Split(text string, check func(string) bool) ([]string, bool) {
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
