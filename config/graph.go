package config

import (
	"fmt"
	"strings"
)

// ambiguousPaths reports kinds that match the same request. Kinds are grouped by
// method and number of path elements, because only kinds of one group can match
// the same request.
func (c *checker) ambiguousPaths(service string, kinds []Kind) {
	type pathGroup struct {
		method string
		length int
	}
	type kindPath struct {
		name     string
		elements []string
	}
	earlier := make(map[pathGroup][]kindPath)
	for i, k := range kinds {
		path := kindPath{k.Name, pathElements(k.Path)}
		group := pathGroup{k.Method, len(path.elements)}
		for _, other := range earlier[group] {
			if pathsOverlap(path.elements, other.elements) {
				c.doc.Problemf(fmt.Sprintf("%s.kinds[%d].path", service, i), "kind %s matches the same requests", other.name)
				break
			}
		}
		earlier[group] = append(earlier[group], path)
	}
}

func pathsOverlap(a, b []string) bool {
	for i := range a {
		if a[i] != b[i] && a[i] != anyElement && b[i] != anyElement {
			return false
		}
	}
	return true
}

// node is one kind in the call graph.
type node struct {
	field      string
	name       string
	calls      []Target
	idempotent bool // may be sent again after an unknown outcome
	state      visitState
	longest    int // kinds in the longest chain that starts with this one
}

type visitState uint8

const (
	unvisited visitState = iota
	onPath
	visited
)

// callGraph checks that targets exist, that the calls form no cycle, that no chain
// of calls is longer than MaxChainLength, and that no idempotent kind calls a
// non-idempotent one.
func (c *checker) callGraph() {
	nodes := make(map[Target]*node)
	var order []*node
	c.eachKind(func(field string, s *Service, k *Kind) {
		target := Target{s.Name, k.Name}
		if nodes[target] != nil {
			return // a repeated name is reported elsewhere
		}
		nodes[target] = &node{field: field, name: s.Name + "/" + k.Name, calls: k.Calls, idempotent: k.Idempotent}
		order = append(order, nodes[target])
	})
	for _, n := range order {
		c.longestChain(nodes, n, nil)
	}
	c.reportLongChains(order)
}

// longestChain returns the number of kinds in the longest chain that starts at n.
// It reports missing targets, cycles and idempotent kinds that call non-idempotent
// ones on the way.
func (c *checker) longestChain(nodes map[Target]*node, n *node, path []string) int {
	if n.state == visited {
		return n.longest
	}
	n.state = onPath
	path = append(path, n.name)
	n.longest = 1
	for i, target := range n.calls {
		next := nodes[target]
		field := fmt.Sprintf("%s.calls[%d]", n.field, i)
		switch {
		case next == nil:
			c.missingTarget(field, target)
		case next.state == onPath:
			c.doc.Problemf(field, "the calls form a cycle: %s", formatCycle(path, next.name))
		default:
			if n.idempotent && !next.idempotent {
				c.doc.Problemf(field, "the idempotent %s may not call the non-idempotent %s: a retry would run it again", n.name, next.name)
			}
			n.longest = max(n.longest, 1+c.longestChain(nodes, next, path))
		}
	}
	n.state = visited
	return n.longest
}

func (c *checker) missingTarget(field string, t Target) {
	for i := range c.services {
		if c.services[i].Name == t.Service {
			c.doc.Problemf(field+".kind", "service %s has no kind %q", t.Service, shorten(t.Kind))
			return
		}
	}
	c.doc.Problemf(field+".service", "there is no service %q", shorten(t.Service))
}

// formatCycle returns the part of a path that begins with the given kind as text. It
// lists at most MaxChainLength+1 kinds.
func formatCycle(path []string, start string) string {
	for i, name := range path {
		if name == start {
			path = path[i:]
			break
		}
	}
	const shown = MaxChainLength + 1
	if len(path) > shown {
		path = append(append([]string(nil), path[:shown]...), "...")
	}
	return strings.Join(path, " -> ") + " -> " + start
}

// reportLongChains reports the kinds whose chain has exactly one kind too many. The
// kinds that call them are left out, because they would repeat the same fault.
func (c *checker) reportLongChains(order []*node) {
	for _, n := range order {
		if n.longest == MaxChainLength+1 {
			c.doc.Problemf(n.field+".calls", "a chain of calls from %s passes more than %d kinds", n.name, MaxChainLength)
		}
	}
}
