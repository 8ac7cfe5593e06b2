package main

import (
	_ "embed"
	"strings"
)

// wireText holds the platform's names of headers, paths, keys and fields, one in each line.
//
//go:embed wire.txt
var wireText string

// wire maps the words that the code uses to these names.
var wire = readWire()

func readWire() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(wireText) {
		if word, name, found := strings.Cut(strings.TrimSpace(line), " = "); found {
			names[word] = name
		}
	}
	return names
}
