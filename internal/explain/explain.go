// Package explain finds the log lines of one request in the logs of several processes and
// tells its story: in order of time, with the inputs that decided each step, and with the
// cause of its end in a sentence.
//
// Lines are key=value pairs. Text before the first pair, as collectors of logs put there,
// names the process. A request that the backend server made while it ran another one is told
// with it when its ID begins with that of the other.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"
)

// maxLine bounds a line; longer ones count as unreadable.
const maxLine = 1 << 20

// ErrUnknown says that no line names the request.
var ErrUnknown = errors.New("no line names the request")

// Line is one log line.
type Line struct {
	// Source names the file, and the process if the line does.
	Source string
	Time   time.Time
	Event  string
	// ID is the request's.
	ID string
	// Fields are the other pairs, in the order of the line.
	Fields []Field
}

// Field is one pair.
type Field struct{ Key, Value string }

// Get returns the value of a field, empty if the line has none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Story is what the logs tell of one request.
type Story struct {
	ID string
	// Lines are those of the request and of its calls, by time.
	Lines []Line
	// Around are lines about the upstreams that the request was sent to.
	Around []Line
	// Unreadable counts lines that could not be read.
	Unreadable int
}

// Reader collects the lines of one request. It is not safe for concurrent use.
type Reader struct {
	id         string
	lines      []Line
	upstreams  []Line // of all upstreams
	starts     []Line // of daemons
	unreadable int
}

// NewReader returns a reader for the request with the ID.
func NewReader(id string) *Reader { return &Reader{id: id} }

// firstPair finds where the pairs of a line begin.
var firstPair = regexp.MustCompile(`(^|\s)[a-z_]+=`)

// Read takes one log. The error is that of reading r; lines that are not understood are
// counted.
func (r *Reader) Read(name string, in io.Reader) error {
	scanner := bufio.NewReaderSize(in, 64<<10)
	for {
		text, err := readLine(scanner)
		if text != "" {
			r.take(name, text)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
}

// readLine returns the next line, of which at most maxLine bytes are kept.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, more, err := in.ReadLine()
		if err != nil {
			return string(line), err
		}
		if len(line) < maxLine {
			line = append(line, part...)
		}
		if !more {
			return string(line), nil
		}
	}
}

func (r *Reader) take(name, text string) {
	// Most lines are of other requests; these are not decoded.
	mine := strings.Contains(text, r.id)
	if !mine && !strings.Contains(text, "upstream") && !strings.Contains(text, "msg=started") {
		if !firstPair.MatchString(text) {
			r.unreadable++
		}
		return
	}
	l, err := parse(name, text)
	switch {
	case err != nil:
		r.unreadable++
	case strings.HasPrefix(l.ID, r.id):
		r.lines = append(r.lines, l)
	case strings.HasPrefix(l.Event, "upstream "):
		r.upstreams = append(r.upstreams, l)
	case l.Event == "started":
		r.starts = append(r.starts, l)
	}
}

func parse(name, text string) (Line, error) {
	at := firstPair.FindStringIndex(text)
	if at == nil {
		return Line{}, errors.New("no pairs")
	}
	l := Line{Source: strings.TrimSpace(name + " " + strings.TrimSpace(text[:at[0]]))}
	d := logfmt.NewDecoder(strings.NewReader(text[at[0]:]))
	if !d.ScanRecord() {
		return Line{}, errors.Wrap(d.Err(), "decode")
	}
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, errors.Wrap(err, "time")
			}
			l.Time = t
		case "msg":
			l.Event = value
		case "id":
			l.ID = value
		case "level":
		default:
			l.Fields = append(l.Fields, Field{key, value})
		}
	}
	if err := d.Err(); err != nil {
		return Line{}, errors.Wrap(err, "decode")
	}
	if l.Event == "" || l.Time.IsZero() {
		return Line{}, errors.New("no event or no time")
	}
	return l, nil
}

// Story returns what was read of the request. The error is ErrUnknown if that is nothing.
func (r *Reader) Story() (*Story, error) {
	s := &Story{ID: r.id, Lines: r.lines, Unreadable: r.unreadable}
	if len(s.Lines) == 0 {
		return s, errors.Wrap(ErrUnknown, r.id)
	}
	byTime(s.Lines)
	asked := make(map[string]bool)
	for i := range s.Lines {
		asked[s.Lines[i].Get("upstream")] = true
	}
	told, addresses := make(map[string]bool), make(map[string]string)
	for _, l := range r.upstreams {
		if asked[l.Get("upstream")] {
			addresses[l.Get("address")] = l.Get("upstream")
		}
		// Each daemon says the same of an upstream.
		key := fmt.Sprint(l.Event, l.Get("upstream"), l.Get("revision"))
		if asked[l.Get("upstream")] && !told[key] {
			told[key] = true
			s.Around = append(s.Around, l)
		}
	}
	s.restarts(r.starts, addresses)
	byTime(s.Around)
	return s, nil
}

// restartWithin is how much later a daemon that had ended is taken to start again.
const restartWithin = 10 * time.Second

// restarts adds the daemons beside the request's upstreams that started after the request's
// last line: they had ended while it was with them.
func (s *Story) restarts(starts []Line, upstreamAt map[string]string) {
	last := s.Lines[len(s.Lines)-1].Time
	for _, l := range starts {
		upstream := upstreamAt[l.Get("backend")]
		if after := l.Time.Sub(last); upstream != "" && after >= 0 && after < restartWithin {
			l.Event = "daemon started again"
			l.Fields = append([]Field{{"upstream", upstream}}, l.Fields...)
			s.Around = append(s.Around, l)
		}
	}
}

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Write prints the story.
func (s *Story) Write(w io.Writer) error {
	var b strings.Builder
	first := s.Lines[0].Time
	fmt.Fprintf(&b, "request %s, from %s\n", s.ID, first.UTC().Format(time.RFC3339Nano))
	writeLines(&b, s.Lines, first, s.ID)
	if len(s.Around) > 0 {
		b.WriteString("the upstreams that it went to:\n")
		writeLines(&b, s.Around, first, s.ID)
	}
	label := "trouble" // that the request has survived
	if s.failed() {
		label = "cause"
	}
	for _, cause := range s.Causes() {
		fmt.Fprintf(&b, "%s: %s\n", label, cause)
	}
	if s.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines could not be read\n", s.Unreadable)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeLines(b *strings.Builder, lines []Line, first time.Time, id string) {
	for _, l := range lines {
		fmt.Fprintf(b, "  %+9.3f s  %s  %s", l.Time.Sub(first).Seconds(), l.Source, l.Event)
		if call := strings.TrimPrefix(l.ID, id); l.ID != "" && call != "" {
			fmt.Fprintf(b, "  call %s", l.ID)
		}
		for _, f := range l.Fields {
			if strings.ContainsAny(f.Value, " \"") {
				fmt.Fprintf(b, "  %s=%q", f.Key, f.Value)
			} else {
				fmt.Fprintf(b, "  %s=%s", f.Key, f.Value)
			}
		}
		b.WriteByte('\n')
	}
}
