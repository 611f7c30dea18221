package main

import (
	"embed"
	"strings"
)

//go:embed names.txt
var nameLines string

//go:embed configurations
var configurations embed.FS

// names are the names on the platform's wire. They stand in a text, since Go files outside of platform/ have none.
var names = func() map[string]string {
	all := make(map[string]string)
	for line := range strings.Lines(nameLines) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		all[key] = name
	}
	return all
}()

func wire(key string) string {
	name, ok := names[key]
	if !ok {
		fail("no name for %s", key)
	}
	return name
}

// configuration returns a configuration with words replaced, given as pairs.
func configuration(file string, words ...string) []byte {
	text, err := configurations.ReadFile("configurations/" + file + ".json")
	if err != nil {
		fail("%v", err)
	}
	return []byte(strings.NewReplacer(append(words, "HOST", host)...).Replace(string(text)))
}
