// Package inifile parses INI text strictly: unknown keys, repeated keys and values
// of the wrong type are reported as one-line errors. Callers reject the sections that
// they don't know with Section.NewError.
package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// File is parsed INI text.
type File struct {
	name     string
	sections []Section
}

// Section is one section of a file.
type Section struct {
	file    string
	name    string
	entries []keyValues
}

// keyValues is a key with all values given for it. More than one value is an error
// in Decode.
type keyValues struct {
	key    string
	values []string
}

// Parse parses INI text. The name identifies it in errors.
func Parse(name string, text []byte) (File, error) {
	raw, err := ini.LoadSources(loadOptions(), text)
	if err != nil {
		return File{}, &Error{File: name, Got: oneLine(err.Error()), Want: "lines of the form key = value under [section]"}
	}
	f := File{name: name}
	for _, s := range raw.Sections() {
		if s.Name() == ini.DefaultSection {
			if keys := s.Keys(); len(keys) > 0 {
				return File{}, &Error{File: name, Got: fmt.Sprintf("key %q before any section", keys[0].Name()), Want: "a [section] line first"}
			}
			continue
		}
		f.sections = append(f.sections, newSection(name, s))
	}
	return f, nil
}

// loadOptions keeps repeated keys as shadows, so that Decode can report them.
func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
	}
}

func newSection(file string, s *ini.Section) Section {
	section := Section{file: file, name: s.Name()}
	for _, k := range s.Keys() {
		section.entries = append(section.entries, keyValues{key: k.Name(), values: k.ValueWithShadows()})
	}
	return section
}

// Name returns the name that identifies the text in errors.
func (f File) Name() string { return f.name }

// Sections returns the sections in the order in which they were written.
func (f File) Sections() []Section { return f.sections }

// Name returns the section's full name.
func (s Section) Name() string { return s.name }

// Kind returns the first word of the section's name and its quoted label, as
// in [profile "chat"]. The label is empty when there is none.
func (s Section) Kind() (kind, label string) {
	kind, rest, found := strings.Cut(s.name, " ")
	if !found {
		return kind, ""
	}
	rest = strings.TrimSpace(rest)
	if len(rest) < 2 || rest[0] != '"' || rest[len(rest)-1] != '"' {
		return s.name, ""
	}
	return kind, rest[1 : len(rest)-1]
}

// NewError returns an error at a key of this section, or of the whole section when key is empty.
func (s Section) NewError(key, got, want string) error {
	return &Error{File: s.file, Section: s.name, Key: key, Got: got, Want: want}
}

// Decode sets the fields from the section's keys. Unknown, repeated and missing
// required keys are errors.
func (s Section) Decode(fields []Field) error {
	known := make(map[string]Field, len(fields))
	for _, f := range fields {
		known[f.Key] = f
	}
	seen := make(map[string]bool, len(s.entries))
	for _, p := range s.entries {
		f, found := known[p.key]
		if !found {
			return s.NewError(oneLine(p.key), "unknown key", "one of "+keyNames(fields))
		}
		if err := s.set(f, p); err != nil {
			return err
		}
		seen[p.key] = true
	}
	return s.checkRequired(fields, seen)
}

func (s Section) set(f Field, p keyValues) error {
	if len(p.values) > 1 {
		return s.NewError(p.key, fmt.Sprintf("given %d times", len(p.values)), "it once")
	}
	value := ""
	if len(p.values) == 1 {
		value = strings.TrimSpace(p.values[0])
	}
	if !f.set(value) {
		return s.NewError(p.key, fmt.Sprintf("got %q", value), f.Want)
	}
	return nil
}

func (s Section) checkRequired(fields []Field, seen map[string]bool) error {
	for _, f := range fields {
		if f.Required && !seen[f.Key] {
			return s.NewError(f.Key, "missing", f.Want)
		}
	}
	return nil
}

// CheckMissingSection checks the fields of a section that is absent from the text. It
// returns an error for the first required one, or nil if all are optional.
func CheckMissingSection(file, section string, fields []Field) error {
	return Section{file: file, name: section}.checkRequired(fields, nil)
}

func keyNames(fields []Field) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.Key)
	}
	return strings.Join(names, ", ")
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
