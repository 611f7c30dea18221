package profile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/chiveramp/chiveramp/internal/inifile"
)

// Parse parses and checks a document. Errors refer to the text by name; each is a single
// line with the document, section and key, the value found, and the values allowed.
func Parse(name string, text []byte) (Document, error) {
	if len(text) > Limit {
		return Document{}, &inifile.Error{File: name, Got: fmt.Sprintf("got %d bytes", len(text)), Want: inifile.FormatSize(Limit) + " at most"}
	}
	file, err := inifile.Parse(name, text)
	if err != nil {
		return Document{}, err
	}
	var d Document
	seen := make(map[string]bool, len(file.Sections()))
	for _, s := range file.Sections() {
		if seen[s.Name()] {
			return Document{}, s.NewError("", "given more than once", "it once")
		}
		seen[s.Name()] = true
		if err := d.add(s); err != nil {
			return Document{}, err
		}
	}
	d.sort()
	if err := d.check(name); err != nil {
		return Document{}, err
	}
	return d, nil
}

func (d *Document) add(s inifile.Section) error {
	kind, label := s.Kind()
	if !inifile.IsName(label) {
		return s.NewError("", "unknown section", `[profile "NAME"], [model "NAME"] or [service "NAME"]`)
	}
	switch kind {
	case kindProfile:
		p := newProfile(label)
		if err := s.Decode(profileFields(&p)); err != nil {
			return err
		}
		d.profiles = append(d.profiles, p)
	case kindModel:
		m := newModel(label)
		if err := s.Decode(modelFields(&m)); err != nil {
			return err
		}
		d.models = append(d.models, m)
	case kindService:
		v := newService(label)
		if err := s.Decode(serviceFields(&v)); err != nil {
			return err
		}
		d.services = append(d.services, v)
	default:
		return s.NewError("", "unknown section", `[profile "NAME"], [model "NAME"] or [service "NAME"]`)
	}
	return nil
}

func (d *Document) sort() {
	slices.SortFunc(d.profiles, func(a, b Profile) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.models, func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}

// check validates the references between sections.
func (d *Document) check(name string) error {
	if len(d.profiles) == 0 {
		return &inifile.Error{File: name, Got: "no profile", Want: `one [profile "NAME"] or more`}
	}
	for _, p := range d.profiles {
		if err := d.checkProfile(name, p); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) checkProfile(name string, p Profile) error {
	newError := func(key, given, want string) error {
		return &inifile.Error{File: name, Section: sectionName(kindProfile, p.Name), Key: key, Got: given, Want: want}
	}
	if len(p.Models) == 0 && len(p.Services) == 0 {
		return newError("models", "missing", "models or services that the profile may reach")
	}
	for _, pattern := range p.Models {
		if !slices.ContainsFunc(d.models, func(m Model) bool { return matchesPattern(pattern, m.Name) }) {
			return newError("models", fmt.Sprintf("got %q", pattern), "a model of this document")
		}
	}
	for _, s := range p.Services {
		if _, found := d.Service(s); !found {
			return newError("services", fmt.Sprintf("got %q", s), "a service of this document")
		}
	}
	if p.First > p.Deadline {
		return newError("first", "got "+inifile.FormatDuration(p.First), "deadline or less, "+inifile.FormatDuration(p.Deadline))
	}
	return nil
}

func sectionName(kind, label string) string {
	return fmt.Sprintf("%s %q", kind, label)
}
