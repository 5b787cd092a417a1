package config

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// Problem is one fault of a file and its location.
type Problem struct {
	// File is the name under which the file was parsed. It is empty for a value
	// that was not parsed from a file.
	File string
	// Line is the line number, from 1. It is 0 if the line is not known.
	Line int
	// Field is a path such as services[2].kinds[0].rank. It is empty for a problem
	// of the whole file.
	Field string
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the problem as file:line: field: message.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	for _, part := range []string{p.Field, p.Message} {
		if part == "" {
			continue
		}
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(part)
	}
	return b.String()
}

// shownProblems is the number of problems that Join includes in its error. It is
// small because the error is logged as one line.
const shownProblems = 3

// Join returns the problems as one error, or nil if there are none. The error
// contains the first three problems and the number of the others.
func Join(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	texts := make([]string, 0, shownProblems)
	for _, p := range problems[:min(len(problems), shownProblems)] {
		texts = append(texts, p.String())
	}
	text := strings.Join(texts, "; ")
	if rest := len(problems) - shownProblems; rest > 0 {
		text += fmt.Sprintf("; and %d more", rest)
	}
	return errors.New(text)
}
