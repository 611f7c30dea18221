package profile

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/inifile"
)

// The kinds of sections in a document.
const (
	kindProfile = "profile"
	kindModel   = "model"
	kindService = "service"
)

const (
	maxRetries  = 10
	maxCopies   = 1 << 16
	maxAdapters = 10_000
)

func profileFields(p *Profile) []inifile.Field {
	return []inifile.Field{
		inifile.Name("class", &p.Class).AsRequired(),
		inifile.Choice("rank", &p.Rank, fleet.Ranks()...).AsRequired(),
		inifile.Duration("first", &p.First, 0),
		inifile.Duration("gap", &p.Gap, 0),
		inifile.Duration("deadline", &p.Deadline, time.Millisecond),
		inifile.Names("models", &p.Models, isPattern).WithWant("a comma list of models, each a name or a prefix with * at its end"),
		inifile.Names("services", &p.Services, nil),
		inifile.Number("cap", &p.Cap, math.SmallestNonzeroFloat64, 1).WithWant("a share above 0, 1 at most"),
		inifile.Count("retries", &p.Retries, 0, maxRetries),
	}
}

func modelFields(m *Model) []inifile.Field {
	return []inifile.Field{
		inifile.Size("bytes", &m.Bytes, 1).AsRequired(),
		inifile.Size("adapter", &m.Adapter, 0),
		inifile.Size("cache", &m.Cache, 0),
		inifile.Name("service", &m.Service).AsRequired(),
		inifile.Count("copies", &m.Copies, 1, maxCopies),
		inifile.Custom("adapters", "a comma list of names, or a count up to "+strconv.Itoa(maxAdapters),
			func(text string) bool { return setAdapters(m, text) },
			func() string { return formatAdapters(m.Adapters) }),
		inifile.Names("versions", &m.Versions, nil),
	}
}

func serviceFields(s *Service) []inifile.Field {
	return []inifile.Field{inifile.Bool("repeat", &s.Repeat).AsRequired()}
}

func isPattern(text string) bool {
	prefix, found := strings.CutSuffix(text, "*")
	return inifile.IsName(prefix) || found && prefix == ""
}

// setAdapters parses a list of adapter names, or a count, which means the names 1, 2 and so on.
func setAdapters(m *Model, text string) bool {
	if count, err := strconv.Atoi(text); err == nil {
		if count < 0 || count > maxAdapters {
			return false
		}
		m.Adapters = numberedNames(count)
		return true
	}
	list, valid := inifile.SplitList(text, inifile.IsName)
	m.Adapters = list
	return valid
}

func numberedNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, strconv.Itoa(i+1))
	}
	return names
}

func formatAdapters(names []string) string {
	if len(names) > 0 && slices.Equal(names, numberedNames(len(names))) {
		return strconv.Itoa(len(names))
	}
	return strings.Join(names, ", ")
}
