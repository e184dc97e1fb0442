package caller

import (
	"errors"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// decode parses exactly one JSON object and rejects unknown fields. The error
// contains the field and the byte offset at which parsing stopped.
func decode(data []byte, into *callerapi.Request) error {
	err := json.Unmarshal(data, into, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	offset, pointer, cause := errorPosition(err)
	return fault.Wrap(fault.BadRequest, cause, "at byte %d", offset).WithField("body" + pointer)
}

// errorPosition returns the byte offset, the JSON pointer and the cause of an
// error of the JSON library. The library's own error text is not used, since it
// differs between processes.
func errorPosition(err error) (offset int64, pointer string, cause error) {
	var syntax *jsontext.SyntacticError
	if errors.As(err, &syntax) {
		return syntax.ByteOffset, string(syntax.JSONPointer), syntax.Err
	}
	var semantic *json.SemanticError
	if !errors.As(err, &semantic) {
		return 0, "", err
	}
	if semantic.Err != nil {
		return semantic.ByteOffset, string(semantic.JSONPointer), semantic.Err
	}
	return semantic.ByteOffset, string(semantic.JSONPointer), errors.New("found a " + semantic.JSONKind.String() + ", allowed is a " + semantic.GoType.String())
}
