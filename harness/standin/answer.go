package standin

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
)

// MaxAnswerBytes bounds N in the directive bytes=N.
const MaxAnswerBytes = 8 << 20

// Expected returns the answer of the backend server of service to a request of
// the given kind, when all downstream calls are answered. It returns nil when
// the configuration does not describe the kind or a downstream kind, or when
// the call graph is deeper than callmeta.MaxDepth.
func Expected(cfg *config.Config, service, kind string, body []byte) []byte {
	return expected(cfg, service, kind, body, 0)
}

func expected(cfg *config.Config, service, kind string, body []byte, depth int) []byte {
	s := cfg.Service(service)
	if s == nil || depth > callmeta.MaxDepth {
		return nil
	}
	k := s.Kind(kind)
	if k == nil {
		return nil
	}
	downstream := make([][]byte, 0, len(k.Calls))
	for _, t := range k.Calls {
		answer := expected(cfg, t.Service, t.Kind, body, depth+1)
		if answer == nil {
			return nil
		}
		downstream = append(downstream, answer)
	}
	return answerFor(service, kind, body, downstream)
}

// answerFor derives the answer of one run from its inputs.
func answerFor(service, kind string, body []byte, downstream [][]byte) []byte {
	digest := xxhash.New()
	parts := append([][]byte{[]byte(service), []byte(kind), body}, downstream...)
	for _, part := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	line := fmt.Sprintf("%s/%s %016x\n", service, kind, digest.Sum64())
	size := answerBytes(body)
	return []byte(strings.Repeat(line, max(1, (size+len(line)-1)/len(line))))
}

func answerBytes(body []byte) int {
	n, err := strconv.Atoi(directive(string(body), "bytes"))
	if err != nil {
		return 0
	}
	return min(max(n, 0), MaxAnswerBytes)
}

// directive returns the value of the first field of the form name=value.
func directive(text, name string) string {
	if !strings.Contains(text, name+"=") {
		return ""
	}
	for _, field := range strings.Fields(text) {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			return value
		}
	}
	return ""
}

// Path returns the URL path under which the kind of a service is called. Path
// elements in braces are filled with a hash of the body.
func Path(service string, k config.Kind, body []byte) string {
	elements := strings.Split(k.Path, "/")
	for i, e := range elements {
		if isPlaceholder(e) {
			elements[i] = strconv.FormatUint(xxhash.Sum64(body), 16)
		}
	}
	return "/" + service + "/" + strings.TrimPrefix(strings.Join(elements, "/"), "/")
}

// matchKind returns the kind of the service that a method and URL path belong to,
// or nil. The path may start with the name of the service.
func matchKind(s *config.Service, method, path string) *config.Kind {
	if rest, ok := strings.CutPrefix(path, "/"+s.Name+"/"); ok {
		path = "/" + rest
	}
	for i := range s.Kinds {
		if s.Kinds[i].Method == method && matchPath(s.Kinds[i].Path, path) {
			return &s.Kinds[i]
		}
	}
	return nil
}

func matchPath(pattern, path string) bool {
	want := strings.Split(strings.Trim(pattern, "/"), "/")
	have := strings.Split(strings.Trim(path, "/"), "/")
	if len(want) != len(have) {
		return false
	}
	for i := range want {
		if want[i] != have[i] && (!isPlaceholder(want[i]) || have[i] == "") {
			return false
		}
	}
	return true
}

func isPlaceholder(element string) bool {
	return strings.HasPrefix(element, "{") && strings.HasSuffix(element, "}")
}
