package bodies_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"cicadawell.dev/router/bodies"
	"github.com/matryer/is"
)

func TestReservationsShareTheBudget(t *testing.T) {
	is := is.New(t)
	b := bodies.NewBudget(100)
	first, second := b.Begin(), b.Begin()
	is.True(first.Grow(60))
	is.True(!second.Grow(41))
	is.True(second.Grow(40))
	is.True(!first.Grow(1))
	first.Release()
	is.True(second.Grow(60))
	second.Release()
	second.Release()
	is.Equal(b.Used(), int64(0))
}

func TestBodiesAreReadIntoReservedMemory(t *testing.T) {
	text := strings.Repeat("0123456789", 10_000)
	for name, length := range map[string]int64{"known length": int64(len(text)), "unknown length": -1, "empty": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want := text
			if length == 0 {
				want = ""
			}
			b := bodies.NewBudget(1 << 20)
			r := b.Begin()
			data, err := bodies.Read(iotest.OneByteReader(strings.NewReader(want)), length, r)
			is.NoErr(err)
			is.Equal(string(data), want)
			is.True(b.Used() >= int64(cap(data)))
			if length > 0 {
				is.Equal(int64(cap(data)), length) // no larger than needed
			}
			r.Release()
			is.Equal(b.Used(), int64(0))
		})
	}
}

// TestBodyWithoutMemoryIsReadToItsEnd guards against connections that are reset, with the
// refusal lost, because a part of the request is unread.
func TestBodyWithoutMemoryIsReadToItsEnd(t *testing.T) {
	for _, length := range []int64{100_000, -1} {
		is := is.New(t)
		b := bodies.NewBudget(50_000)
		r := b.Begin()
		body := bytes.NewReader(make([]byte, 100_000))
		_, err := bodies.Read(body, length, r)
		is.True(errors.Is(err, bodies.ErrNoMemory))
		is.Equal(body.Len(), 0)
		r.Release()
		is.Equal(b.Used(), int64(0))
	}
}

func TestBrokenBodyIsNoBody(t *testing.T) {
	is := is.New(t)
	_, err := bodies.Read(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10, bodies.NewBudget(100).Begin())
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}
