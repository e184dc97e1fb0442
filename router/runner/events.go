package runner

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one line of a server-sent event.
const maxEventBytes = 9 << 20

// eventReader reads server-sent events one by one.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &eventReader{lines: lines}
}

// next returns the name and the data of the next event. It returns
// io.ErrUnexpectedEOF if the stream ends within or between events.
func (e *eventReader) next() (name string, data []byte, err error) {
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
