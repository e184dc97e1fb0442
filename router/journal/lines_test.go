package journal_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/journal"
	"github.com/matryer/is"
)

const (
	infoLine = `{"@level":"info","n":%d}` + "\n"
	warnLine = `{"@level":"warn","n":%d}` + "\n"
)

func TestLineWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe() // without a reader, so that every Write blocks
	l := journal.NewLineWriter(w, clock.NewManual(time.Unix(0, 0)))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	const lines = 10_000
	for i := range lines {
		n, err := fmt.Fprintf(l, infoLine, i)
		is.NoErr(err)
		is.True(n > 0)
	}
	is.True(l.Dropped() > 0)
	cancel()
	is.NoErr(r.Close())
	is.True(errors.Is(<-done, io.ErrClosedPipe))
}

func TestLineWriterKeepsWarningsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		l := journal.NewLineWriter(&out, clock.System())
		for i := range 5000 {
			_, _ = fmt.Fprintf(l, infoLine, i)
		}
		for i := range 100 {
			_, _ = fmt.Fprintf(l, warnLine, i)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		_ = clock.System().Sleep(t.Context(), 11*time.Second)
		cancel()
		is.NoErr(<-done)
		is.Equal(strings.Count(out.String(), `"warn"`), 101) // the 100 warnings and the report of dropped lines
		is.True(strings.Contains(out.String(), fmt.Sprintf(`"lines left out","count":%d`, l.Dropped())))
	})
}
