package runner

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 9 << 20

// events reads server-sent events one by one.
type events struct {
	lines *bufio.Scanner
}

func newEvents(r io.Reader) *events {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &events{lines: lines}
}

// next returns the name and the data of the next event. A stream that ends
// within or between events gives io.ErrUnexpectedEOF.
func (e *events) next() (name string, data []byte, err error) {
	for e.lines.Scan() {
		line := e.lines.Bytes()
		switch {
		case len(line) == 0 && name != "":
			return name, data, nil
		case bytes.HasPrefix(line, []byte("event:")):
			name = string(bytes.TrimSpace(line[len("event:"):]))
		case bytes.HasPrefix(line, []byte("data:")):
			data = append(data, bytes.TrimSpace(line[len("data:"):])...)
		}
	}
	if err := e.lines.Err(); err != nil {
		return "", nil, eris.Wrap(err, "read event")
	}
	return "", nil, io.ErrUnexpectedEOF
}
