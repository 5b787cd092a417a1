package config

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the largest file or envelope body, in bytes. The
	// configuration service holds no larger values.
	MaxBytes = 1 << 20
	// MaxProblems bounds the problems reported for one file, so that a malicious
	// file of many small faults does not use memory without bound. One more
	// problem says that further ones are not listed.
	MaxProblems = 100
	// maxNesting bounds the nesting of lists and objects. The parser recurses,
	// and 1 MiB of opening brackets would exhaust the stack.
	maxNesting = 32
	// maxValues bounds the fields and list elements of a file. The parser needs
	// over 100 bytes for each, and a daemon has 32 MB of memory in total. The "size
	// in two years" of docs/design.md needs about 25,000: 720 upstreams with 6 each,
	// their kinds, and a week of hourly windows for 21 services with 5 each.
	maxValues = 1 << 16
)

// Document is one parsed file of JSON with comments. It collects the problems
// of the file and finds the line of each field. The zero value is for checking a
// value that was not parsed from a file; its problems have no line. A Document is
// not safe for concurrent use.
type Document struct {
	file        string
	data        []byte
	root        *hujson.Value
	problems    []Problem
	reported    map[string]bool
	undecodable map[string]bool // fields whose value could not be decoded
}

// Decode parses data as JSON with comments and trailing commas into the struct
// that target points to. Fields are matched by their exact JSON tag; unknown,
// repeated and missing fields and wrong types are problems of the document. A
// field whose tag has omitempty, omitzero or a default may be missing and keeps
// its value.
func Decode(file string, data []byte, target any) *Document {
	d := &Document{file: file, data: data}
	if len(data) > MaxBytes {
		d.addProblem(0, "", fmt.Sprintf("%d bytes, at most %d allowed", len(data), MaxBytes))
		return d
	}
	if offset, reason := exceededLimit(data); reason != "" {
		d.addProblem(d.line(offset), "", reason)
		return d
	}
	root, err := hujson.Parse(data)
	if err != nil {
		line, message := syntaxError(err)
		d.addProblem(line, "", message)
		return d
	}
	d.root = &root
	d.decode(d.root, reflect.ValueOf(target).Elem(), "")
	return d
}

// Parsed reports whether the text was valid JSON with comments. Otherwise there
// are no values to check.
func (d *Document) Parsed() bool { return d.root != nil }

// Problemf adds a problem of a field with the field's line. It adds nothing if the
// field already has a problem or its value could not be decoded, because the
// second problem would follow from the first.
func (d *Document) Problemf(field, format string, args ...any) {
	if d.limitReached() || d.reported[field] || !d.decoded(field) {
		return
	}
	line := 0
	if v := d.findValue(field); v != nil {
		line = d.line(v.StartOffset)
	}
	d.addProblem(line, field, fmt.Sprintf(format, args...))
}

// Problems returns all problems, ordered by line.
func (d *Document) Problems() []Problem {
	sorted := slices.Clone(d.problems)
	listed := sorted[:min(len(sorted), MaxProblems)] // the note that problems were left out stays last
	slices.SortStableFunc(listed, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return sorted
}

// decodeProblemf adds a problem of a field that could not be decoded, with the line
// of v. Problemf then adds no problem for the field or the fields in it.
func (d *Document) decodeProblemf(v *hujson.Value, field, format string, args ...any) {
	if d.limitReached() || d.reported[field] {
		return
	}
	if d.undecodable == nil {
		d.undecodable = make(map[string]bool)
	}
	d.undecodable[field] = true
	d.addProblem(d.line(v.StartOffset), field, fmt.Sprintf(format, args...))
}

// decoded reports whether the value of a field can be checked: decoding found no
// problem in the field or in a value that contains it.
func (d *Document) decoded(field string) bool {
	for {
		if d.undecodable[field] {
			return false
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return true
		}
		field = field[:i]
	}
}

// limitReached reports whether further problems are dropped. Decoding and the
// checks then stop: finding the line of a problem takes time proportional to the
// size of the file, and 1 MiB of small faults would keep a daemon busy for seconds.
func (d *Document) limitReached() bool { return len(d.problems) > MaxProblems }

func (d *Document) addProblem(line int, field, message string) {
	if len(d.problems) == MaxProblems {
		line, field, message = 0, "", "further problems are not listed"
	}
	if d.reported == nil {
		d.reported = make(map[string]bool)
	}
	d.reported[field] = true
	d.problems = append(d.problems, Problem{d.file, line, field, message})
}

func (d *Document) line(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte{'\n'})
}

// findValue returns the value at a field path. If the file does not contain it,
// findValue returns the innermost enclosing value that the file contains.
func (d *Document) findValue(field string) *hujson.Value {
	v := d.root
	if v == nil {
		return nil
	}
	path := strings.ReplaceAll(field, "[", ".[")
	for step := range strings.SplitSeq(path, ".") {
		next := child(v, step)
		if next == nil {
			return v
		}
		v = next
	}
	return v
}

func child(v *hujson.Value, step string) *hujson.Value {
	switch value := v.Value.(type) {
	case *hujson.Object:
		for i := range value.Members {
			if value.Members[i].Name.Value.(hujson.Literal).String() == step {
				return &value.Members[i].Value
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(strings.Trim(step, "[]"))
		if err == nil && i < len(value.Elements) {
			return &value.Elements[i]
		}
	}
	return nil
}

// syntaxError extracts the line from the message of the parser's error, which has
// no field for it.
func syntaxError(err error) (line int, message string) {
	message = strings.TrimPrefix(err.Error(), "hujson: ")
	var column int
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
		message = fmt.Sprintf("column %d: %s", column, message)
	}
	return line, message
}

// exceededLimit returns the offset at which a text exceeds maxNesting or maxValues
// and a message, or an empty reason if it exceeds neither. It runs before the text
// is parsed, because the limits protect the parser.
func exceededLimit(data []byte) (offset int, reason string) {
	depth, values := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			depth++
			values++
		case '}', ']':
			depth--
		case ',':
			values++
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		}
		if depth > maxNesting {
			return i, fmt.Sprintf("nested deeper than %d levels", maxNesting)
		}
		if values > maxValues {
			return i, fmt.Sprintf("more than %d fields and list elements", maxValues)
		}
	}
	return 0, ""
}

func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

func skipComment(data []byte, i int) int {
	end, skip := []byte("\n"), 0
	switch {
	case bytes.HasPrefix(data[i:], []byte("/*")):
		end, skip = []byte("*/"), 2
	case !bytes.HasPrefix(data[i:], []byte("//")):
		return i
	}
	length := bytes.Index(data[i+skip:], end)
	if length < 0 {
		return len(data)
	}
	return i + skip + length + len(end) - 1
}

// withoutProblems returns a copy of the document without its problems.
func (d *Document) withoutProblems() *Document {
	return &Document{file: d.file, data: d.data, root: d.root}
}
