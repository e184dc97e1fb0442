package relay

import (
	"errors"
	"io"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/memory"
)

const (
	// freeAnswerBytes is how much of an answer a call may always hold. It fits ordinary
	// answers and is part of the memory of a call in progress.
	freeAnswerBytes = 8 << 10
	// firstChunkBytes fits most answers.
	firstChunkBytes = 1 << 10
	// answerChunkBytes is by how much the memory of longer answers grows.
	answerChunkBytes = 32 << 10
	// freeEventBytes is the size of an event for which a stream always has memory.
	freeEventBytes = 4 << 10
	// keptEventBytes is the size of an event buffer that is kept for the next event.
	keptEventBytes = 16 << 10
)

// errEventNotHeld is the error of a stream whose event has no memory. The call isn't sent to
// another engine, which would send the same event.
var errEventNotHeld error = fault.Wrap(fault.OutcomeUnknown, memory.ErrShort, "hold an event").WithOutcome(fault.Run)

// readHeld reads a body until it has maxBuffered bytes or the call gets no memory for more.
// It reports whether the body has ended.
func readHeld(body io.Reader, m *memory.Reservation) (chunks [][]byte, ended bool, err error) {
	size := firstChunkBytes
	for held := 0; ; {
		chunk, err := fill(body, min(size, maxBuffered-held))
		held += len(chunk)
		chunks = append(chunks, chunk)
		switch {
		case errors.Is(err, io.EOF):
			return chunks, true, nil
		case err != nil:
			return nil, false, err
		case held == maxBuffered:
			return chunks, false, nil
		case held < freeAnswerBytes:
			size = freeAnswerBytes - held
		case !m.Grow(memory.Answers, answerChunkBytes):
			return chunks, false, nil
		default:
			size = answerChunkBytes
		}
	}
}

// fill reads size bytes, fewer only with an error. The error is io.EOF only at the end of
// the body, unlike that of io.ReadFull, which reads on behind it.
func fill(body io.Reader, size int) ([]byte, error) {
	chunk := make([]byte, size)
	for n := 0; n < size; {
		m, err := body.Read(chunk[n:])
		n += m
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

// writeHeld writes chunks and drops each one that was written.
func writeHeld(w io.Writer, chunks [][]byte) error {
	for i, chunk := range chunks {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		chunks[i] = nil
	}
	return nil
}

// heldEvent is the buffer of the event that is being read.
type heldEvent struct {
	bytes  []byte
	memory *memory.Reservation
}

// add appends a part of the event. It fails if the event is too long or has no memory.
func (h *heldEvent) add(part []byte) error {
	need := len(h.bytes) + len(part)
	if need > maxEvent {
		return errEventTooLong
	}
	if need > cap(h.bytes) {
		size := max(min(max(2*cap(h.bytes), need), maxEvent), freeEventBytes)
		if size > freeEventBytes && !h.memory.GrowOrReclaim(memory.Answers, int64(size-cap(h.bytes))) {
			return errEventNotHeld
		}
		h.bytes = append(make([]byte, 0, size), h.bytes...)
	}
	h.bytes = append(h.bytes, part...)
	return nil
}

// reset drops the event, whose buffer is kept unless it is large.
func (h *heldEvent) reset() {
	h.bytes = h.bytes[:0]
	if cap(h.bytes) > keptEventBytes {
		h.bytes = nil
		h.memory.Free(memory.Answers)
	}
}
