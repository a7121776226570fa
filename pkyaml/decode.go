package pkyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Fault is one error in a file.
type Fault struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Text string `json:"text"`
}

// String returns the fault as file:line: text.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text) }

// Faults is an error that holds all faults of a file.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Doc is a decoded file with the line number of each of its values.
type Doc struct {
	file string
	root *yaml.Node
}

// Errors of the yaml package that are rewritten for operators.
var (
	unknownKey = regexp.MustCompile(`^line (\d+): field (\S+) not found in type \S+$`)
	wrongType  = regexp.MustCompile("(?s)^line (\\d+): cannot unmarshal \\S+ `?(.*?)`? into (\\S+)$")
	anyLine    = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
)

// Decode decodes the single YAML document in data strictly into a T; the error is a
// Faults.
func Decode[T any](file string, data []byte) (T, Doc, error) {
	var out T
	doc := Doc{file: file}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return out, doc, Faults{doc.fault(err.Error())}
	}
	if len(root.Content) == 0 {
		return out, doc, Faults{{File: file, Line: 1, Text: "file is empty"}}
	}
	doc.root = root.Content[0]
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(&out)
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		faults := make(Faults, 0, len(typed.Errors))
		for _, text := range typed.Errors {
			faults = append(faults, doc.fault(text))
		}
		return out, doc, faults
	}
	if err != nil {
		return out, doc, Faults{doc.fault(err.Error())}
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return out, doc, Faults{{File: file, Line: 1, Text: "expected one document, found more"}}
	}
	return out, doc, nil
}

// Fault returns a fault at the value that path refers to, or at its nearest parent
// that the file contains. A path consists of map keys and list indexes.
func (d Doc) Fault(text string, path ...any) Fault {
	return Fault{File: d.file, Line: d.line(path), Text: text}
}

func (d Doc) line(path []any) int {
	n := d.root
	if n == nil {
		return 1
	}
	for _, step := range path {
		next := child(n, step)
		if next == nil {
			break
		}
		n = next
	}
	return n.Line
}

func child(n *yaml.Node, step any) *yaml.Node {
	switch s := step.(type) {
	case int:
		if n.Kind == yaml.SequenceNode && s < len(n.Content) {
			return n.Content[s]
		}
	case string:
		if n.Kind != yaml.MappingNode {
			return nil
		}
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == s {
				return n.Content[i+1]
			}
		}
	}
	return nil
}

// fault converts an error text of the yaml package.
func (d Doc) fault(text string) Fault {
	text = strings.TrimPrefix(text, "yaml: ")
	if m := unknownKey.FindStringSubmatch(text); m != nil {
		return Fault{File: d.file, Line: lineNumber(m[1]), Text: fmt.Sprintf("unknown key %q", m[2])}
	}
	if m := wrongType.FindStringSubmatch(text); m != nil {
		return Fault{File: d.file, Line: lineNumber(m[1]), Text: fmt.Sprintf("found %q, expected %s", m[2], typeName(m[3]))}
	}
	if m := anyLine.FindStringSubmatch(text); m != nil {
		return Fault{File: d.file, Line: lineNumber(m[1]), Text: m[2]}
	}
	return Fault{File: d.file, Line: 1, Text: text}
}

// typeName describes a Go type to operators.
func typeName(name string) string {
	switch {
	case name == "time.Duration":
		return "a duration such as 250ms or 20s"
	case slices.Contains([]string{"int", "int64", "uint64", "uint32"}, name):
		return "a whole number"
	case name == "float64":
		return "a number"
	case name == "bool":
		return "true or false"
	case strings.HasPrefix(name, "[]"):
		return "a list"
	default:
		return "a value of type " + name[strings.LastIndex(name, ".")+1:]
	}
}

// lineNumber parses a line number; 1 if it is out of range.
func lineNumber(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 1
	}
	return n
}
