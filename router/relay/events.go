package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"

	"cicadawell.dev/router/memory"
)

// maxEvent is the maximum size of one event of a stream, in bytes.
const maxEvent = 1 << 20

var (
	errTruncatedEvent = errors.New("the stream ended inside an event")
	errEventTooLong   = errors.New("an event exceeds the size limit")
	errNoEvent        = errors.New("the stream has text that is no event")
)

// eventReader splits a stream into server-sent events.
type eventReader struct {
	r *bufio.Reader
	// event buffers the event that is being read.
	event heldEvent
	// any is set once an event was read.
	any bool
}

func newEventReader(r io.Reader, m *memory.Reservation) *eventReader {
	return &eventReader{r: bufio.NewReader(r), event: heldEvent{memory: m}}
}

// next returns the next complete event, including the empty line that ends it,
// and the event's identifier. Comments and empty lines before an event are
// returned as part of it, or without an event at the end of the stream. The
// event is valid until the next call. The error is io.EOF only if the stream
// didn't end inside an event.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.event.reset()
	var fields eventFields
	for begin := 0; ; {
		part, err := e.r.ReadSlice('\n')
		if addErr := e.event.add(part); addErr != nil {
			return nil, "", addErr
		}
		line := bytes.TrimRight(e.event.bytes[begin:], "\r\n")
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && (fields.any || begin < len(e.event.bytes)):
			return nil, "", errTruncatedEvent
		case errors.Is(err, io.EOF) && len(e.event.bytes) > 0:
			return e.event.bytes, "", nil
		case err != nil:
			return nil, "", err
		}
		complete, valid := fields.add(line)
		switch {
		case !valid:
			return nil, "", errNoEvent
		case complete:
			e.any = true
			return e.event.bytes, identifier(e.event.bytes), nil
		}
		begin = len(e.event.bytes)
	}
}

// eventFields says which fields an event has so far.
type eventFields struct {
	// any is set if there is a field, known if there is one that the format defines.
	any, known bool
}

// knownFields are the fields that the format of events defines.
var knownFields = []string{"data", "id", "event", "retry"}

// add adds a line. The event is complete at the first empty line after a field. A
// line that is no field, and an event without a known field, are invalid.
func (f *eventFields) add(line []byte) (complete, valid bool) {
	if len(line) == 0 {
		return f.any, f.known || !f.any
	}
	if line[0] == ':' {
		return false, true
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	f.any, f.known = true, f.known || slices.Contains(knownFields, string(name))
	return false, validFieldName(name)
}

// validFieldName reports whether a field can have this name. Names in runners'
// streams are in lower case, unlike the head or the text of an error.
func validFieldName(name []byte) bool {
	return len(name) > 0 && !bytes.ContainsFunc(name, func(r rune) bool { return (r < 'a' || r > 'z') && r != '-' && r != '_' })
}

// follows reports whether an event may come after another one. Identifiers that are
// numbers increase.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > m
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
