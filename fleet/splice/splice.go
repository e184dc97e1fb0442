// Package splice puts JSON that is already encoded into an encoded message
// without reading it again.
package splice

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Field returns the JSON of message, which is a struct with at least one field
// of its own and leaves out the field name when that is empty, with raw as the
// value of that field. raw is valid JSON; it is copied as it stands.
func Field(message any, name string, raw json.RawMessage) ([]byte, error) {
	head, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	if len(raw) == 0 {
		return head, nil
	}
	out := make([]byte, 0, len(head)+len(name)+len(raw)+len(`,"":}`))
	out = append(out, head[:len(head)-1]...)
	out = append(out, ',', '"')
	out = append(out, name...)
	out = append(out, '"', ':')
	out = append(out, raw...)
	return append(out, '}'), nil
}
