// Package explain finds the log lines of one request in the logs of several processes and
// reports on the request: its events in order of time, the inputs of each decision, and a
// sentence with the cause of its failure.
//
// Lines consist of key=value pairs. Text before the first pair, as log collectors add it, names
// the process. A call that the backend server made while it ran the request is included if the
// call's ID begins with that of the request.
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

// ErrRequestNotFound is returned when no line names the request.
var ErrRequestNotFound = errors.New("no line names the request")

// Line is one log line.
type Line struct {
	// Source is the name of the log, and of the process if the line names one.
	Source string
	Time   time.Time
	Event  string
	// ID is the ID of the request or call.
	ID string
	// Fields are the other pairs except the level, in the order of the line.
	Fields []Field
}

// Field is a key=value pair of a line.
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

// Report holds the log lines about one request.
type Report struct {
	ID string
	// Lines are the lines of the request and of the calls made for it, by time.
	Lines []Line
	// UpstreamLines are lines about the upstreams that the request was sent to, by time.
	UpstreamLines []Line
	// AbruptEnds holds, for each process that ended without a line "stopped", the line "started"
	// of its successor, in the order of the logs. The requests that such a process had accepted
	// have no line about their end.
	AbruptEnds []Line
	// Unreadable is the number of lines that could not be parsed.
	Unreadable int
}

// Reader collects the lines of one request. It is not safe for concurrent use.
type Reader struct {
	id            string
	lines         []Line
	upstreamLines []Line          // about upstreams, whether the request was sent to them or not
	startLines    []Line          // about starts of daemons
	abruptEnds    []Line          // starts of daemons whose predecessor has no line "stopped"
	running       map[string]bool // whether the last process of a source has no line "stopped"
	unreadable    int
}

// NewReader returns a Reader for the request with the ID.
func NewReader(id string) *Reader { return &Reader{id: id, running: make(map[string]bool)} }

// firstPair matches the beginning of the first pair of a line.
var firstPair = regexp.MustCompile(`(^|\s)[a-z_]+=`)

// Read reads one log to its end. It returns an error only if reading from in fails; lines that
// cannot be parsed are counted.
func (r *Reader) Read(name string, in io.Reader) error {
	buffered := bufio.NewReaderSize(in, 64<<10)
	for {
		text, err := readLine(buffered)
		if text != "" {
			r.addLine(name, text)
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

func (r *Reader) addLine(name, text string) {
	// Most lines are about other requests. They are not decoded.
	namesRequest := strings.Contains(text, r.id)
	if !namesRequest && !strings.Contains(text, "upstream") && !strings.Contains(text, "msg=started") && !strings.Contains(text, "msg=stopped") {
		if !firstPair.MatchString(text) {
			r.unreadable++
		}
		return
	}
	l, err := parseLine(name, text)
	switch {
	case err != nil:
		r.unreadable++
	case strings.HasPrefix(l.ID, r.id):
		r.lines = append(r.lines, l)
	case strings.HasPrefix(l.Event, "upstream "):
		r.upstreamLines = append(r.upstreamLines, l)
	case l.Event == "started":
		r.startLines = append(r.startLines, l)
		if r.running[l.Source] {
			r.abruptEnds = append(r.abruptEnds, l)
		}
		r.running[l.Source] = true
	case l.Event == "stopped":
		r.running[l.Source] = false
	}
}

func parseLine(name, text string) (Line, error) {
	firstMatch := firstPair.FindStringIndex(text)
	if firstMatch == nil {
		return Line{}, errors.New("no pairs")
	}
	l := Line{Source: strings.TrimSpace(name + " " + strings.TrimSpace(text[:firstMatch[0]]))}
	decoder := logfmt.NewDecoder(strings.NewReader(text[firstMatch[0]:]))
	if !decoder.ScanRecord() {
		return Line{}, errors.Wrap(decoder.Err(), "decode")
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
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
	if err := decoder.Err(); err != nil {
		return Line{}, errors.Wrap(err, "decode")
	}
	if l.Event == "" || l.Time.IsZero() {
		return Line{}, errors.New("no event or no time")
	}
	return l, nil
}

// Report returns the report on the request. The error is ErrRequestNotFound if no line of the
// request was read; the report then holds only the ID, AbruptEnds and Unreadable.
func (r *Reader) Report() (*Report, error) {
	report := &Report{ID: r.id, Lines: r.lines, AbruptEnds: r.abruptEnds, Unreadable: r.unreadable}
	if len(report.Lines) == 0 {
		return report, errors.Wrap(ErrRequestNotFound, r.id)
	}
	sortByTime(report.Lines)
	attempted := make(map[string]bool)
	for i := range report.Lines {
		attempted[report.Lines[i].Get("upstream")] = true
	}
	seen, upstreamByAddress := make(map[string]bool), make(map[string]string)
	for _, l := range r.upstreamLines {
		if attempted[l.Get("upstream")] {
			upstreamByAddress[l.Get("address")] = l.Get("upstream")
		}
		// Every daemon logs the same change of an upstream.
		key := fmt.Sprint(l.Event, l.Get("upstream"), l.Get("era"), l.Get("revision"))
		if attempted[l.Get("upstream")] && !seen[key] {
			seen[key] = true
			report.UpstreamLines = append(report.UpstreamLines, l)
		}
	}
	report.addRestarts(r.startLines, upstreamByAddress)
	sortByTime(report.UpstreamLines)
	return report, nil
}

// maxRestartDelay is the time after the request's last line within which the start of a daemon
// shows that the daemon had ended during the request.
const maxRestartDelay = 10 * time.Second

// addRestarts adds the starts of daemons beside the request's upstreams within maxRestartDelay
// after the request's last line: these daemons had ended while they handled the request.
func (r *Report) addRestarts(startLines []Line, upstreamByAddress map[string]string) {
	last := r.Lines[len(r.Lines)-1].Time
	for _, l := range startLines {
		upstream := upstreamByAddress[l.Get("backend")]
		if after := l.Time.Sub(last); upstream != "" && after >= 0 && after < maxRestartDelay {
			l.Event = "daemon started again"
			l.Fields = append([]Field{{"upstream", upstream}}, l.Fields...)
			r.UpstreamLines = append(r.UpstreamLines, l)
		}
	}
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Write prints the report to w.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	start := r.Lines[0].Time
	fmt.Fprintf(&b, "request %s, from %s\n", r.ID, start.UTC().Format(time.RFC3339Nano))
	writeLines(&b, r.Lines, start, r.ID)
	if len(r.UpstreamLines) > 0 {
		b.WriteString("the upstreams that it went to:\n")
		writeLines(&b, r.UpstreamLines, start, r.ID)
	}
	label := "trouble" // a failure that did not make the request itself fail
	if r.failed() {
		label = "cause"
	}
	for _, cause := range r.Causes() {
		fmt.Fprintf(&b, "%s: %s\n", label, cause)
	}
	last := r.Lines[len(r.Lines)-1].Time
	for i := range r.AbruptEnds {
		if after := r.AbruptEnds[i].Time.Sub(start); after >= 0 && r.AbruptEnds[i].Time.Sub(last) < maxRestartDelay {
			fmt.Fprintf(&b, "during the request: %s\n", DescribeAbruptEnd(&r.AbruptEnds[i]))
		}
	}
	if r.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines could not be read\n", r.Unreadable)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// DescribeAbruptEnd returns a sentence about an element of Report.AbruptEnds.
func DescribeAbruptEnd(started *Line) string {
	return fmt.Sprintf("the daemon %s ended without a stop; it started again at %s", started.Get("name"), started.Time.UTC().Format(time.RFC3339Nano))
}

func writeLines(b *strings.Builder, lines []Line, start time.Time, id string) {
	for _, l := range lines {
		fmt.Fprintf(b, "  %+9.3f s  %s  %s", l.Time.Sub(start).Seconds(), l.Source, l.Event)
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
