package main

import (
	_ "embed"
	"fmt"
	"strings"
)

// namesText has the platform's names, by what the stand-ins call them.
//
//go:embed names.txt
var namesText string

// configurationText is a configuration with a stream's route to model engines, in which MODELS stands for their models.
//
//go:embed configuration.json.tmpl
var configurationText string

var names = decodeNames()

func decodeNames() map[string]string {
	all := make(map[string]string)
	for line := range strings.Lines(namesText) {
		name, wire, _ := strings.Cut(strings.TrimSpace(line), " ")
		all[name] = wire
	}
	return all
}

// configuration returns a configuration whose engines may load some models.
func configuration(models ...string) string {
	var all []string
	for _, m := range models {
		all = append(all, fmt.Sprintf(`{"name":%q,"weightsMb":72700,"loadS":4,"adapters":0,"adapterMb":12}`, m))
	}
	return strings.Replace(configurationText, "MODELS", strings.Join(all, ","), 1)
}
