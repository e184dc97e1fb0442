// Package jsonfield inserts JSON that is already encoded into an encoded message
// without parsing it again, and reads fields that may be invalid.
package jsonfield

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// AppendField returns the JSON of message with an additional field called name whose
// value is raw. message must be a struct that encodes at least one other field and
// omits the field name when it is empty. raw must be valid JSON; it is copied
// unchanged. If raw is empty, the field is omitted.
func AppendField(message any, name string, raw json.RawMessage) ([]byte, error) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	if len(raw) == 0 {
		return encoded, nil
	}
	out := make([]byte, 0, len(encoded)+len(name)+len(raw)+len(`,"":}`))
	out = append(out, encoded[:len(encoded)-1]...)
	out = append(out, ',', '"')
	out = append(out, name...)
	out = append(out, '"', ':')
	out = append(out, raw...)
	return append(out, '}'), nil
}

// LenientBytes is a value in base64 that becomes empty if it can't be decoded. Where anyone
// may write, one such value must not hide the others of its message.
type LenientBytes []byte

// UnmarshalJSON never returns an error.
func (b *LenientBytes) UnmarshalJSON(data []byte) error {
	var value []byte
	if err := json.Unmarshal(data, &value); err != nil {
		value = nil
	}
	*b = value
	return nil
}
