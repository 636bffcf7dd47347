// Package requestlog selects the log lines that concern one request from those
// of all nodes: its own lines, and what the nodes decided about its model and
// endpoints during its lifetime.
package requestlog

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Entry is a parsed log line.
type Entry struct {
	Time    time.Time
	VM      string
	Message string
	// Fields are the other keys except level, in the order of the line.
	Fields []Field
}

// Field is one key with its value.
type Field struct {
	Key   string
	Value string
}

// Get returns the value of a key, or "" if the entry does not have it.
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

// Parse parses a log line. It skips a prefix before the time, which a log
// collector may add. ok is false if the line has no valid time or no message.
func Parse(line string) (entry Entry, ok bool) {
	begin := strings.Index(line, "time=")
	if begin < 0 {
		return Entry{}, false
	}
	for _, match := range pair.FindAllStringSubmatch(line[begin:], -1) {
		entry.set(match[1], unquote(match[2]))
	}
	return entry, !entry.Time.IsZero() && entry.Message != ""
}

func unquote(value string) string {
	if text, err := strconv.Unquote(value); err == nil {
		return text
	}
	return value
}

// set sets the field for a key.
func (e *Entry) set(key, value string) {
	switch key {
	case "time":
		// Parse rejects entries with an invalid time, which is zero then.
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

// leadTime is the time before the start of a request from which related entries
// are selected.
const leadTime = 5 * time.Second

// commonMessages are the messages that may be relevant to any request on the
// same node.
var commonMessages = []string{
	"lease taken", "lease lost", "lease released", "lease not renewed", "store lost", "store regained",
	"configuration in force", "owner's inventory lost", "owner's inventory followed", "shutting down", "start",
}

// Select returns the entries that concern a request, in the order of their times.
func Select(entries []Entry, request string) []Entry {
	related := scope{endpoints: map[string]bool{}}
	for _, e := range entries {
		if e.Get("request_id") == request {
			related.add(e)
		}
	}
	var out []Entry
	for _, e := range entries {
		if e.Get("request_id") == request || related.includes(e) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return out
}

// scope is the lifetime of a request, the VM that served it, its model and its
// endpoints.
type scope struct {
	from, to  time.Time
	vm        string
	model     string
	endpoints map[string]bool
}

// add extends the scope by an entry of the request.
func (s *scope) add(e Entry) {
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

// includes reports whether an entry that belongs to no request is related to
// the request.
func (s *scope) includes(e Entry) bool {
	if s.from.IsZero() || e.Get("request_id") != "" || e.Time.Before(s.from.Add(-leadTime)) || e.Time.After(s.to) {
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
	return e.VM == s.vm && slices.Contains(commonMessages, e.Message)
}

// Read parses log lines. It skips lines that Parse rejects and returns their
// number as skipped.
func Read(r io.Reader) (entries []Entry, skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if e, ok := Parse(lines.Text()); ok {
			entries = append(entries, e)
		} else {
			skipped++
		}
	}
	return entries, skipped, eris.Wrap(lines.Err(), "requestlog: read")
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Print writes entries with their times relative to the first one.
func Print(w io.Writer, entries []Entry) error {
	for _, e := range entries {
		offset := e.Time.Sub(entries[0].Time).Seconds()
		var fields []string
		for _, f := range e.Fields {
			if f.Value != "" {
				fields = append(fields, f.Key+"="+quote(f.Value))
			}
		}
		if _, err := fmt.Fprintf(w, "%8.3f s  %-20s %-28s %s\n", offset, e.VM, e.Message, strings.Join(fields, " ")); err != nil {
			return eris.Wrap(err, "requestlog: print")
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
