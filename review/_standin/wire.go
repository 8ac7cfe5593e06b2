package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// wireFiles holds the platform's names and formats, which the code doesn't know.
//
//go:embed wire
var wireFiles embed.FS

// names are the platform's names of headers, paths, keys and fields.
var names = readNames()

type wireNames struct {
	RequestID, Deadline, TargetInstance, CallerService, NotProcessed, Signature, InstanceID string
	SettingsVariable, Readiness, Instances                                                  string
	StoreKey, StoreRange, StoreWatch, StoreTransaction, Prefix, Expected, Configuration     string
}

func readNames() (read wireNames) {
	raw, err := wireFiles.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(raw, &read)
	}
	if err != nil {
		panic(err) // the file is part of the program
	}
	return read
}

// format returns one of the platform's documents.
func format(document string, values any) ([]byte, error) {
	parsed, err := template.ParseFS(wireFiles, "wire/"+document)
	if err != nil {
		return nil, err
	}
	written := &bytes.Buffer{}
	err = parsed.Execute(written, values)
	return written.Bytes(), err
}
