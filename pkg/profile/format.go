package profile

import (
	"strings"

	"github.com/chiveramp/chiveramp/internal/inifile"
)

// section is one section of a document, with its keys bound to their values.
type section struct {
	name   string
	fields []inifile.Field
}

func (d Document) sections() []section {
	var sections []section
	for _, p := range d.profiles {
		sections = append(sections, section{sectionName(kindProfile, p.Name), profileFields(&p)})
	}
	for _, m := range d.models {
		sections = append(sections, section{sectionName(kindModel, m.Name), modelFields(&m)})
	}
	for _, s := range d.services {
		sections = append(sections, section{sectionName(kindService, s.Name), serviceFields(&s)})
	}
	return sections
}

// String returns the document in its canonical form: first profiles, then models, then
// services, each sorted by name, with keys in a fixed order and without keys that have
// their default value.
func (d Document) String() string {
	var b strings.Builder
	for i, p := range d.sections() {
		if i > 0 {
			b.WriteString("\n")
		}
		b.WriteString("[" + p.name + "]\n")
		p.write(&b)
	}
	return b.String()
}

func (s section) write(b *strings.Builder) {
	defaults := defaultsOf(s.name)
	for i, f := range s.fields {
		if !f.Required && f.Value() == defaults[i].Value() {
			continue
		}
		b.WriteString(f.Key + " = " + f.Value() + "\n")
	}
}

func defaultsOf(section string) []inifile.Field {
	kind, _, _ := strings.Cut(section, " ")
	switch kind {
	case kindProfile:
		p := newProfile("")
		return profileFields(&p)
	case kindModel:
		m := newModel("")
		return modelFields(&m)
	default:
		s := newService("")
		return serviceFields(&s)
	}
}
