package caller

import (
	"errors"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// decode reads exactly one JSON object without unknown fields. The error names
// the field and the byte where reading stopped.
func decode(data []byte, into *callerapi.Request) error {
	err := json.Unmarshal(data, into, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	offset, pointer, cause := place(err)
	return fault.Wrap(fault.BadRequest, cause, "at byte %d", offset).WithField("body" + pointer)
}

// place takes an error of the library apart: its own text is not the same in
// each process.
func place(err error) (offset int64, pointer string, cause error) {
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
