package ctl

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// standardInput is the path that stands for standard input.
const standardInput = "-"

// maximumSourceBytes bounds one file.
const maximumSourceBytes = 16 << 20

var sourceExtensions = []string{".yaml", ".yml", ".json"}

// sources is what was read from files, in order.
type sources struct {
	resources []*resource.Resource
	// paths holds the file of each resource.
	paths []string
}

// origin names the file of the resource at an index.
func (s *sources) origin(index int) string {
	if index < 0 || index >= len(s.paths) {
		return "input"
	}
	return s.paths[index]
}

// readSources reads files, the files in folders, and standard input. Every
// fault found is listed.
func readSources(paths []string, input io.Reader) (*sources, error) {
	read := &sources{}
	var faults []string
	for _, path := range paths {
		files, err := expand(path)
		if err != nil {
			return nil, &UsageError{Reason: err.Error()}
		}
		for _, file := range files {
			faults = append(faults, read.add(file, input)...)
		}
	}
	if len(faults) > 0 {
		return nil, &UsageError{Reason: "nothing was sent:\n  " + strings.Join(faults, "\n  ")}
	}
	if len(read.resources) == 0 {
		return nil, &UsageError{Reason: "no resources in " + strings.Join(paths, ", ")}
	}
	return read, nil
}

// expand returns the files a path stands for: itself, or those of a folder and
// its folders by name.
func expand(path string) ([]string, error) {
	if path == standardInput {
		return []string{path}, nil
	}
	about, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !about.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && slices.Contains(sourceExtensions, filepath.Ext(file)) {
			files = append(files, file)
		}
		return err
	})
	return files, err
}

// add reads one file and returns what is wrong with it.
func (s *sources) add(path string, input io.Reader) []string {
	data, err := readFile(path, input)
	if err != nil {
		return []string{err.Error()}
	}
	declared, err := resource.DecodeDocuments(data)
	if err != nil {
		return describe(path, err)
	}
	for _, one := range declared {
		s.resources = append(s.resources, one)
		s.paths = append(s.paths, path)
	}
	return nil
}

func readFile(path string, input io.Reader) ([]byte, error) {
	reader := input
	if path != standardInput {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		reader = file
	}
	data, err := io.ReadAll(io.LimitReader(reader, maximumSourceBytes+1))
	if err == nil && len(data) > maximumSourceBytes {
		err = fmt.Errorf("%s: larger than %d bytes", path, maximumSourceBytes)
	}
	return data, err
}

// describe lists the faults of one file, one a line.
func describe(path string, err error) []string {
	var rejected *resource.RejectionError
	if !errors.As(err, &rejected) {
		return []string{path + ": " + err.Error()}
	}
	lines := make([]string, 0, len(rejected.Fields))
	for _, field := range rejected.Fields {
		lines = append(lines, path+": "+field.Error())
	}
	return lines
}

// parseKind reads a kind in any case, singular or plural.
func parseKind(text string) (resource.Kind, error) {
	for _, kind := range resource.Kinds {
		if strings.EqualFold(text, string(kind)) || strings.EqualFold(text, string(kind)+"s") {
			return kind, nil
		}
	}
	return "", &UsageError{Reason: fmt.Sprintf("%q is not a kind; the kinds are %v", text, resource.Kinds)}
}

// parseKeys reads arguments of the form KIND/NAME, or KIND NAME NAME.
func parseKeys(arguments []string) ([]resource.Key, error) {
	var keys []resource.Key
	var current resource.Kind
	for _, argument := range arguments {
		kindText, name, qualified := strings.Cut(argument, "/")
		switch {
		case qualified:
			kind, err := parseKind(kindText)
			if err != nil {
				return nil, err
			}
			keys = append(keys, resource.Key{Kind: kind, Name: name})
		case current == "":
			kind, err := parseKind(argument)
			if err != nil {
				return nil, err
			}
			current = kind
		default:
			keys = append(keys, resource.Key{Kind: current, Name: argument})
		}
	}
	return keys, nil
}
