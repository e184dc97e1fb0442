package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent is the maximum size of one event of a stream, in bytes.
const maxEvent = 1 << 20

var (
	errTruncatedEvent = errors.New("the stream ended inside an event")
	errEventTooLong   = errors.New("an event exceeds the size limit")
)

// eventReader splits a stream into server-sent events.
type eventReader struct {
	r *bufio.Reader
	// event buffers the event that is being read.
	event []byte
	// any is set once an event was read.
	any bool
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// next returns the next complete event, including the empty line that ends it,
// and the event's identifier. Comments and empty lines before an event are
// returned as part of it, or without an event at the end of the stream. The
// event is valid until the next call. The error is io.EOF only if the stream
// didn't end inside an event.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.event = e.event[:0]
	content := false
	for begin := 0; ; {
		part, err := e.r.ReadSlice('\n')
		e.event = append(e.event, part...)
		line := bytes.TrimRight(e.event[begin:], "\r\n")
		switch {
		case len(e.event) > maxEvent:
			return nil, "", errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && (content || begin < len(e.event)):
			return nil, "", errTruncatedEvent
		case errors.Is(err, io.EOF) && len(e.event) > 0:
			return e.event, "", nil
		case err != nil:
			return nil, "", err
		case len(line) == 0 && content:
			e.any = true
			return e.event, identifier(e.event), nil
		}
		content = content || (len(line) > 0 && line[0] != ':')
		begin = len(e.event)
	}
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
