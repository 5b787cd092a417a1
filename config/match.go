package config

import (
	"slices"
	"strings"
)

// anyElement replaces an element in braces. A path cannot contain it.
const anyElement = "*"

// routes finds the kind of a request without allocating. No two kinds match
// the same request, so the order of the lookups does not matter.
type routes struct {
	exact    map[string]map[string]int // index in Kinds by method and path
	patterns map[string][]pattern      // by method
}

// pattern is a path with at least one element in braces.
type pattern struct {
	elements  []string // an element in braces is kept as anyElement
	kindIndex int
}

// Match returns the kind that describes a request, or nil. The path is the URL
// path after the service name, in the escaped form; it begins with a slash.
// Match does not allocate for a service from Parse, Merge or Open.
func (s *Service) Match(method, path string) *Kind {
	r := s.routes
	if r == nil {
		r = compileRoutes(s.Kinds)
	}
	if i, ok := r.exact[method][path]; ok {
		return &s.Kinds[i]
	}
	for _, p := range r.patterns[method] {
		if p.matches(path) {
			return &s.Kinds[p.kindIndex]
		}
	}
	return nil
}

func (p pattern) matches(path string) bool {
	for _, want := range p.elements {
		if path == "" || path[0] != '/' {
			return false
		}
		path = path[1:]
		end := strings.IndexByte(path, '/')
		if end < 0 {
			end = len(path)
		}
		if end == 0 || want != anyElement && want != path[:end] {
			return false
		}
		path = path[end:]
	}
	return path == ""
}

func compileRoutes(kinds []Kind) *routes {
	r := &routes{exact: make(map[string]map[string]int), patterns: make(map[string][]pattern)}
	for i, k := range kinds {
		elements := pathElements(k.Path)
		if slices.Contains(elements, anyElement) {
			r.patterns[k.Method] = append(r.patterns[k.Method], pattern{elements, i})
			continue
		}
		if r.exact[k.Method] == nil {
			r.exact[k.Method] = make(map[string]int)
		}
		r.exact[k.Method][k.Path] = i
	}
	return r
}

// pathElements splits a path and replaces each element in braces by anyElement.
func pathElements(path string) []string {
	elements := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, e := range elements {
		if isPlaceholder(e) {
			elements[i] = anyElement
		}
	}
	return elements
}

func isPlaceholder(element string) bool {
	return len(element) > 2 && element[0] == '{' && element[len(element)-1] == '}'
}
