// Package bodies reads the bodies of requests into memory that is reserved first.
package bodies

import (
	"errors"
	"io"

	"cicadawell.dev/router/memory"
)

// Reservation is the memory of one request.
type Reservation interface {
	// Grow adds n bytes, or returns false if there are none.
	Grow(n int64) bool
}

// minGrowth is the least by which the buffer of a body of unknown length grows.
const minGrowth = 4 << 10

// Read reads a body to its end into memory that it reserves first. length is the number
// of bytes that are expected, or negative if unknown. If the memory is lacking, Read
// discards the rest, so that the request is read to its end and can be refused.
func Read(body io.Reader, length int64, r Reservation) ([]byte, error) {
	data, err := read(body, max(length, 0), r)
	switch {
	case err == nil:
		return data, nil
	case errors.Is(err, memory.ErrShort):
		if _, err := io.Copy(io.Discard, body); err != nil {
			return nil, err
		}
	}
	return nil, err
}

func read(body io.Reader, length int64, r Reservation) ([]byte, error) {
	data, err := grow(nil, length, r)
	if err != nil {
		return nil, err
	}
	for {
		var n int
		if len(data) < cap(data) {
			n, err = body.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
		} else {
			// Most bodies end here. The buffer grows only for those that don't.
			var next [1]byte
			n, err = body.Read(next[:])
			if n > 0 {
				var growErr error
				if data, growErr = grow(data, max(int64(cap(data)), minGrowth), r); growErr != nil {
					return nil, growErr
				}
				data = append(data, next[0])
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of data with room for n more bytes.
func grow(data []byte, n int64, r Reservation) ([]byte, error) {
	if !r.Grow(n) {
		return nil, memory.ErrShort
	}
	return append(make([]byte, 0, int64(len(data))+n), data...), nil
}
