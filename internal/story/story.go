// Package story gathers from the log lines of all nodes what happened to one
// request, and what the nodes decided about its model and endpoints meanwhile.
package story

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Entry is one log line.
type Entry struct {
	Time    time.Time
	VM      string
	Message string
	// Fields are the other keys, in the order of the line.
	Fields []Field
}

// Field is one key with its value.
type Field struct {
	Key   string
	Value string
}

// Get returns the value of a key, or "".
func (e Entry) Get(key string) string {
	for _, field := range e.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// pair matches key=value with a value that may be quoted.
var pair = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Parse reads a log line. What stands before the time, as a log collector may
// add, is left out. ok is false for a line of another form.
func Parse(line string) (entry Entry, ok bool) {
	begin := strings.Index(line, "time=")
	if begin < 0 {
		return Entry{}, false
	}
	for _, match := range pair.FindAllStringSubmatch(line[begin:], -1) {
		entry.take(match[1], unquote(match[2]))
	}
	return entry, !entry.Time.IsZero() && entry.Message != ""
}

func unquote(value string) string {
	if text, err := strconv.Unquote(value); err == nil {
		return text
	}
	return value
}

func (e *Entry) take(key, value string) {
	switch key {
	case "time":
		// A line whose time can't be read is left out by Parse.
		e.Time, _ = time.Parse(time.RFC3339Nano, value)
	case "msg":
		e.Message = value
	case "vm":
		e.VM = value
	case "level":
	default:
		e.Fields = append(e.Fields, Field{key, value})
	}
}

// lead is how long before a request its surroundings are told.
const lead = 5 * time.Second

// always are the messages that may matter to any request.
var always = []string{
	"lease taken", "lease lost", "lease released", "lease not renewed", "store lost", "store regained",
	"configuration in force", "owner's inventory lost", "owner's inventory followed", "shutting down", "start",
}

// Of returns the entries that tell of a request, in the order of their times.
func Of(entries []Entry, request string) []Entry {
	about := subject{endpoints: map[string]bool{}}
	for _, e := range entries {
		if e.Get("request_id") == request {
			about.add(e)
		}
	}
	var out []Entry
	for _, e := range entries {
		if e.Get("request_id") == request || about.concerns(e) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return out
}

// subject is what a request had to do with.
type subject struct {
	from, to  time.Time
	vm        string
	model     string
	endpoints map[string]bool
}

func (s *subject) add(e Entry) {
	from := e.Time
	if ms, err := strconv.Atoi(e.Get("took_ms")); err == nil {
		from = from.Add(-time.Duration(ms) * time.Millisecond)
	}
	if s.from.IsZero() || from.Before(s.from) {
		s.from = from
	}
	if e.Time.After(s.to) {
		s.to = e.Time
	}
	s.vm = e.VM
	if model := e.Get("model"); model != "" {
		s.model = model
	}
	if endpoint := e.Get("endpoint"); endpoint != "" {
		s.endpoints[endpoint] = true
	}
}

// concerns reports whether an entry without a request is told.
func (s *subject) concerns(e Entry) bool {
	if s.from.IsZero() || e.Get("request_id") != "" || e.Time.Before(s.from.Add(-lead)) || e.Time.After(s.to) {
		return false
	}
	switch {
	case s.model != "" && (e.Get("model") == s.model || e.Get("for") == s.model):
		return true
	case s.endpoints[e.Get("endpoint")]:
		return true
	case strings.HasPrefix(e.Message, "lease "):
		return true
	}
	return e.VM == s.vm && slices.Contains(always, e.Message)
}

// Read reads log lines. Lines of another form are left out and counted.
func Read(r io.Reader) (entries []Entry, others int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if e, ok := Parse(lines.Text()); ok {
			entries = append(entries, e)
		} else {
			others++
		}
	}
	return entries, others, eris.Wrap(lines.Err(), "story: read")
}

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Print writes entries, each with its time after the first.
func Print(w io.Writer, entries []Entry) error {
	for _, e := range entries {
		after := e.Time.Sub(entries[0].Time).Seconds()
		var fields []string
		for _, f := range e.Fields {
			if f.Value != "" {
				fields = append(fields, f.Key+"="+quote(f.Value))
			}
		}
		if _, err := fmt.Fprintf(w, "%8.3f s  %-20s %-28s %s\n", after, e.VM, e.Message, strings.Join(fields, " ")); err != nil {
			return eris.Wrap(err, "story: print")
		}
	}
	return nil
}

func quote(value string) string {
	if strings.ContainsAny(value, " \"=") {
		return strconv.Quote(value)
	}
	return value
}
