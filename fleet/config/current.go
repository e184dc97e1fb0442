package config

import (
	"bytes"
	"context"
	"os"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"github.com/hashicorp/go-hclog"
)

// pollInterval is how often the file is checked for changes, because it may change
// without a signal.
const pollInterval = 2 * time.Second

// Current holds the current settings in a file and reloads them when the file changes.
type Current[T Logged] struct {
	path   string
	decode Decoder[T]
	log    hclog.Logger
	value  atomic.Pointer[T]
	// lastRead is the content of the file that was read last, valid or not.
	lastRead []byte
}

// Logged is implemented by settings that name what is logged of them when they are applied.
type Logged interface {
	// LogFields returns names and values by turns.
	LogFields() []any
}

// Decoder decodes and validates the settings in the file with a name.
type Decoder[T any] func(name string, data []byte) (T, error)

// NewCurrent loads the settings at path.
func NewCurrent[T Logged](path string, decode Decoder[T], log hclog.Logger) (*Current[T], error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := decode(path, data)
	if err != nil {
		return nil, err
	}
	c := &Current[T]{path: path, decode: decode, log: log, lastRead: data}
	c.value.Store(&s)
	return c, nil
}

// Load returns the current settings.
func (c *Current[T]) Load() *T { return c.value.Load() }

// Run applies changed settings until ctx ends. A value on reload makes it check
// the file at once.
func (c *Current[T]) Run(ctx context.Context, clk clock.Clock, reload <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
			c.log.Info("reload signal received")
			c.reload()
		case <-clk.After(pollInterval):
			c.reload()
		}
	}
}

// reload applies the settings in the file if they have changed and are valid.
func (c *Current[T]) reload() {
	data, err := os.ReadFile(c.path)
	if err != nil {
		c.log.Error("can't read the settings file; keeping the current settings", "error", err)
		return
	}
	if bytes.Equal(data, c.lastRead) {
		return
	}
	c.lastRead = data
	s, err := c.decode(c.path, data)
	if err != nil {
		c.log.Error("invalid settings; keeping the current ones", "error", err)
		return
	}
	c.value.Store(&s)
	c.log.Info("settings applied", s.LogFields()...)
}
