package main

import (
	_ "embed"
	"strings"
)

// names are the platform's names that the stand-ins use. They stand in a file, since Go files outside platform/ must
// not contain them.
//
//go:embed names.txt
var names string

var wireNames = func() map[string]string {
	all := make(map[string]string)
	for line := range strings.Lines(names) {
		own, theirs, _ := strings.Cut(strings.TrimSpace(line), " ")
		all[own] = theirs
	}
	return all
}()

// wire returns the platform's name for a thing.
func wire(own string) string { return wireNames[own] }
