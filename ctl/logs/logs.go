// Package logs reads the log lines of several processes.
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

// maxLineBytes bounds a line; longer ones end the reading of their file.
const maxLineBytes = 1 << 20

// Line is a log line of one process.
type Line struct {
	// Process is the word before the line, as collectors put it there, or the
	// name of the file.
	Process string
	// At is by the clock of the process.
	At      time.Time
	Level   string
	Module  string
	Message string
	Fields  map[string]any
}

// Text returns a field as text, or "".
func (l Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Number returns a field as a number; ok is false if it is none.
func (l Line) Number(name string) (n float64, ok bool) {
	n, ok = l.Fields[name].(float64)
	return n, ok
}

// Millis returns a field that holds milliseconds.
func (l Line) Millis(name string) (time.Duration, bool) {
	n, ok := l.Number(name)
	return time.Duration(n * float64(time.Millisecond)), ok
}

// Names reports whether a field holds, or lists, a text.
func (l Line) Names(field, text string) bool {
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

// Read reads files in the order in which they are named; "-" is in. It returns
// how many lines were no log lines beside those that were.
func Read(in io.Reader, paths []string) (lines []Line, strange int, err error) {
	for _, path := range paths {
		n, err := readFile(in, path, &lines)
		if err != nil {
			return nil, 0, eris.Wrapf(err, "read logs %s", path)
		}
		strange += n
	}
	return lines, strange, nil
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

// Scan appends the lines of r, which are of the named process if nothing stands
// before them. It returns how many were no log lines.
func Scan(r io.Reader, process string, lines *[]Line) (int, error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	strange := 0
	for s.Scan() {
		text := strings.TrimSpace(s.Text())
		if text == "" {
			continue
		}
		l, ok := parse(text)
		if !ok {
			strange++
			continue
		}
		if l.Process == "" {
			l.Process = process
		}
		*lines = append(*lines, l)
	}
	return strange, s.Err()
}

func parse(text string) (Line, bool) {
	before, _, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[len(before):]), &fields); err != nil {
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
	if words := strings.Fields(before); len(words) > 0 {
		l.Process = strings.TrimSuffix(words[len(words)-1], "|")
	}
	return l, l.Message != ""
}
