package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt: what was sent, answered, run and done, by time.
type record struct {
	mu    sync.Mutex
	start time.Time
	w     *bufio.Writer
	f     *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), f: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) add(what, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %-8s %s\n", time.Since(r.start).Seconds(), what, fmt.Sprintf(format, args...))
}

// say also prints the line.
func (r *record) say(what, format string, args ...any) {
	r.add(what, format, args...)
	fmt.Printf("%s: %s\n", what, fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
