// Package logs parses the JSON log lines of several processes.
package logs

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a line; a longer one fails the read of
// its file.
const maxLineBytes = 1 << 20

// Line is a log line of one process.
type Line struct {
	// Process is the word before the JSON object, as log collectors prepend it,
	// or the file name without its extension.
	Process string
	// At is the timestamp, by the clock of the process. It is zero if the line
	// has no valid timestamp.
	At      time.Time
	Level   string
	Module  string
	Message string
	Fields  map[string]any
}

// Text returns a field as a string, or "" if it isn't a string.
func (l Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Number returns a field as a number; ok is false if it isn't a number.
func (l Line) Number(name string) (n float64, ok bool) {
	n, ok = l.Fields[name].(float64)
	return n, ok
}

// Millis returns a field that holds a number of milliseconds.
func (l Line) Millis(name string) (time.Duration, bool) {
	n, ok := l.Number(name)
	return time.Duration(n * float64(time.Millisecond)), ok
}

// HasValue reports whether a field is text or a list that contains it.
func (l Line) HasValue(field, text string) bool {
	switch v := l.Fields[field].(type) {
	case string:
		return v == text
	case []any:
		for _, item := range v {
			if item == text {
				return true
			}
		}
	}
	return false
}

// Read reads files in the given order; the path "-" stands for in. It returns the
// log lines, and how many other lines it skipped.
func Read(in io.Reader, paths []string) (lines []Line, skipped int, err error) {
	for _, path := range paths {
		n, err := readFile(in, path, &lines)
		if err != nil {
			return nil, 0, eris.Wrapf(err, "read logs %s", path)
		}
		skipped += n
	}
	return lines, skipped, nil
}

func readFile(in io.Reader, path string, lines *[]Line) (int, error) {
	if path == "-" {
		return Scan(in, "-", lines)
	}
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	return Scan(f, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), lines)
}

// Scan appends the log lines of r to lines. A line without a process prefix gets
// the given process. Scan returns how many lines it skipped as no log lines.
func Scan(r io.Reader, process string, lines *[]Line) (int, error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	skipped := 0
	for s.Scan() {
		text := strings.TrimSpace(s.Text())
		if text == "" {
			continue
		}
		l, ok := parseLine(text)
		if !ok {
			skipped++
			continue
		}
		if l.Process == "" {
			l.Process = process
		}
		*lines = append(*lines, l)
	}
	return skipped, s.Err()
}

func parseLine(text string) (Line, bool) {
	prefix, _, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[len(prefix):]), &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Level, l.Module, l.Message = l.Text("@level"), l.Text("@module"), l.Text("@message")
	for name := range fields {
		if strings.HasPrefix(name, "@") && name != "@timestamp" {
			delete(fields, name)
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.Text("@timestamp"))
	if err == nil {
		l.At = at
	}
	delete(fields, "@timestamp")
	if words := strings.Fields(prefix); len(words) > 0 {
		l.Process = strings.TrimSuffix(words[len(words)-1], "|")
	}
	return l, l.Message != ""
}
