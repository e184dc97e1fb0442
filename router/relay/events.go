package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

var errTorn = errors.New("the stream ended inside an event")

// eventReader splits a stream into its events.
type eventReader struct {
	r *bufio.Reader
	// event is the one that is being read.
	event []byte
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// next returns the next whole event together with the empty line that ends it,
// and its identifier. The event is valid until the next call. The error is
// io.EOF only where the stream ended between two events.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.event = e.event[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case len(e.event) > maxEvent:
			return nil, "", errors.New("an event is too long")
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.event) > 0:
			return nil, "", errTorn
		case err != nil:
			return nil, "", err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && ended(e.event) {
			return e.event, identifier(e.event), nil
		}
	}
}

// ended reports whether the event's last line is empty.
func ended(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) || len(bytes.TrimRight(event, "\r\n")) == 0
}

// identifier returns the value of the event's id field, or "".
func identifier(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
