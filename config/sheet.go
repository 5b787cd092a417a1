package config

import (
	"fmt"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// DateLayout is the layout of Day.Date for package time.
const DateLayout = "2006-01-02"

// timeOfDayLayout is the layout of Window.Start and Window.End for package time.
const timeOfDayLayout = "15:04"

// Span returns the start and end of the window as durations since midnight. It
// returns an error if either is not a time of day or the end is not after the start.
func (w Window) Span() (start, end time.Duration, err error) {
	if start, err = parseTimeOfDay(w.Start); err != nil {
		return 0, 0, err
	}
	if w.End == "24:00" {
		return start, 24 * time.Hour, nil
	}
	if end, err = parseTimeOfDay(w.End); err != nil {
		return 0, 0, err
	}
	if start >= end {
		return 0, 0, errors.Errorf("the window ends at %s, not after its start at %s", w.End, w.Start)
	}
	return start, end, nil
}

func parseTimeOfDay(s string) (time.Duration, error) {
	t, err := time.Parse(timeOfDayLayout, s)
	if err != nil || len(s) != len(timeOfDayLayout) {
		return 0, errors.Errorf("%q is not a time of day such as 07:30", shorten(s))
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, nil
}

// ValidRate reports whether a forecast rate is finite and not negative.
func ValidRate(callsPerSecond float64) bool {
	return callsPerSecond >= 0 && !math.IsInf(callsPerSecond, 0)
}

// checkSheet checks the sheet whose days are at the field path prefix+"days".
func checkSheet(s Sheet, doc *Document, prefix string) {
	dates := make(map[string]int)
	for i, day := range s.Days {
		field := fmt.Sprintf("%sdays[%d]", prefix, i)
		if _, err := time.Parse(DateLayout, day.Date); err != nil {
			doc.Problemf(field+".date", "%q is not a date such as 2026-02-17", shorten(day.Date))
		} else if first, ok := dates[day.Date]; ok {
			doc.Problemf(field+".date", "%s is already the date of %sdays[%d]", day.Date, prefix, first)
		} else {
			dates[day.Date] = i
		}
		checkWindows(day.Windows, doc, field+".windows")
	}
}

type span struct{ start, end time.Duration }

func checkWindows(windows []Window, doc *Document, field string) {
	earlier := make(map[string][]span)
	for i, w := range windows {
		windowField := fmt.Sprintf("%s[%d]", field, i)
		if !ValidRate(w.CallsPerSecond) {
			doc.Problemf(windowField+".calls_per_second", "%v is not a rate", w.CallsPerSecond)
		}
		if !safeName(w.Service) {
			doc.Problemf(windowField+".service", "%q is not the name of a service", shorten(w.Service))
		}
		checkSpan(w, earlier, doc, windowField)
	}
}

func checkSpan(w Window, earlier map[string][]span, doc *Document, field string) {
	if _, err := parseTimeOfDay(w.Start); err != nil {
		doc.Problemf(field+".start", "%v", err)
		return
	}
	start, end, err := w.Span()
	if err != nil {
		doc.Problemf(field+".end", "%v", err)
		return
	}
	for _, e := range earlier[w.Service] {
		if start < e.end && e.start < end {
			doc.Problemf(field, "the window overlaps an earlier one of %s", shorten(w.Service))
			return
		}
	}
	// One service has at most 1440 windows a day that do not overlap, one per
	// minute, so comparing with all earlier ones is cheap.
	earlier[w.Service] = append(earlier[w.Service], span{start, end})
}

// checkSheetServices checks that every service in a sheet has a description.
func checkSheetServices(s Sheet, services []Service, doc *Document, prefix string) {
	known := make(map[string]bool, len(services))
	for i := range services {
		known[services[i].Name] = true
	}
	for i, day := range s.Days {
		for j, w := range day.Windows {
			if !known[w.Service] {
				doc.Problemf(fmt.Sprintf("%sdays[%d].windows[%d].service", prefix, i, j), "there is no service %q", shorten(w.Service))
			}
		}
	}
}
