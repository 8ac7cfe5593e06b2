package main

import (
	_ "embed"
	"strings"
)

// wireText holds the platform's names of headers, paths, keys and fields, a line each, which the code doesn't know.
//
//go:embed wire.txt
var wireText string

// wire maps the words of the code to these names.
var wire = readWire()

func readWire() map[string]string {
	read := map[string]string{}
	for line := range strings.Lines(wireText) {
		if word, name, found := strings.Cut(strings.TrimSpace(line), " = "); found {
			read[word] = name
		}
	}
	return read
}
