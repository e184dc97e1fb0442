// Package config reads files of JSON with comments strictly: unknown fields are
// refused, and one error names every bad field with its path, what was found
// and what is allowed.
package config

import (
	"encoding/json"
	"os"

	"cicadawell.dev/fleet/fault"
	"github.com/tailscale/hujson"
)

// MaxFileBytes bounds the size of a file.
const MaxFileBytes = 64 << 20

// Checked is implemented by types that check their values after decoding.
type Checked interface {
	// Check adds each bad field to r.
	Check(r *Report)
}

// Read decodes the file at path over a copy of defaults. Its errors have the
// kind BadRequest and name the file.
func Read[T any](path string, defaults T) (T, error) {
	var zero T
	info, err := os.Stat(path)
	if err != nil {
		return zero, fault.Wrap(fault.NotFound, err, "read file").WithField(path)
	}
	if info.Size() > MaxFileBytes {
		return zero, fault.New(fault.TooLarge, "found %d bytes, allowed are %d", info.Size(), MaxFileBytes).WithField(path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, fault.Wrap(fault.NotFound, err, "read file").WithField(path)
	}
	return Decode(path, data, defaults)
}

// Decode decodes data over a copy of defaults; name stands for the data in
// errors. When T or *T is Checked, the fields that could be decoded are checked
// as well, so that the error is complete.
func Decode[T any](name string, data []byte, defaults T) (T, error) {
	var zero T
	root, err := hujson.Parse(data)
	if err != nil {
		return zero, fault.Wrap(fault.BadRequest, err, "not JSON with comments").WithField(name)
	}
	r := &Report{}
	v := defaults
	fit(&root, typeOf(v), "", r)
	root.Minimize()
	if err := json.Unmarshal(root.Pack(), &v); err != nil {
		return zero, fault.Wrap(fault.BadRequest, err, "decode").WithField(name)
	}
	if c, ok := any(&v).(Checked); ok {
		c.Check(r)
	}
	if err := r.Err(name); err != nil {
		return zero, err
	}
	return v, nil
}
