// Package config decodes configuration files of JSON with comments. Decoding is
// strict: unknown fields are rejected, and a single error lists every invalid field
// with its path, the value found and the values allowed.
package config

import (
	"encoding/json"
	"os"

	"cicadawell.dev/fleet/fault"
	"github.com/tailscale/hujson"
)

// MaxFileBytes limits the size of a file.
const MaxFileBytes = 64 << 20

// Validator is implemented by types that validate their values after decoding.
type Validator interface {
	// Validate adds each invalid field to r.
	Validate(r *Report)
}

// Read decodes the file at path over a copy of defaults. Fields that the file does
// not set keep their defaults. All errors name the file. Their kind is NotFound if
// the file cannot be read, TooLarge if it exceeds MaxFileBytes, and BadRequest if
// its content is invalid.
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

// Decode decodes data over a copy of defaults; errors refer to the data by name. If
// *T implements Validator, its Check runs even if fields could not be decoded, so
// that the error lists all invalid fields.
func Decode[T any](name string, data []byte, defaults T) (T, error) {
	var zero T
	root, err := hujson.Parse(data)
	if err != nil {
		return zero, fault.Wrap(fault.BadRequest, err, "not JSON with comments").WithField(name)
	}
	r := &Report{}
	v := defaults
	checkValue(&root, typeOf(v), "", r)
	root.Minimize()
	if err := json.Unmarshal(root.Pack(), &v); err != nil {
		return zero, fault.Wrap(fault.BadRequest, err, "decode").WithField(name)
	}
	if c, ok := any(&v).(Validator); ok {
		c.Validate(r)
	}
	if err := r.Err(name); err != nil {
		return zero, err
	}
	return v, nil
}
