package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// maxFoundBytes limits how much of an invalid value an error quotes.
const maxFoundBytes = 64

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func typeOf[T any](T) reflect.Type { return reflect.TypeFor[T]() }

// checkValue checks that v can be decoded into type t. It adds mismatches to r,
// removes unknown members and sets invalid values to null, so that the rest can be
// decoded.
func checkValue(v *hujson.Value, t reflect.Type, path string, r *Report) {
	if t.Kind() == reflect.Pointer {
		if v.Value.Kind() != 'n' {
			checkValue(v, t.Elem(), path, r)
		}
		return
	}
	switch {
	case t == reflect.TypeFor[json.RawMessage]() || t.Kind() == reflect.Interface:
	case reflect.PointerTo(t).Implements(unmarshalerType):
		checkLiteral(v, t, path, r)
	case t.Kind() == reflect.Struct:
		checkObject(v, t, path, r)
	case t.Kind() == reflect.Map:
		checkMap(v, t, path, r)
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		checkArray(v, t, path, r)
	default:
		checkLiteral(v, t, path, r)
	}
}

func checkObject(v *hujson.Value, t reflect.Type, path string, r *Report) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		reject(v, path, "an object", r)
		return
	}
	names, types := jsonFields(t)
	seen := map[string]bool{}
	kept := obj.Members[:0]
	for _, m := range obj.Members {
		name := memberName(m)
		memberPath := joinPath(path, name)
		ft, known := types[name]
		switch {
		case !known:
			r.Add(memberPath, "an unknown field", "one of "+strings.Join(names, ", "))
		case seen[name]:
			r.Add(memberPath, "the field twice", "once")
		default:
			seen[name] = true
			checkValue(&m.Value, ft, memberPath, r)
			kept = append(kept, m)
		}
	}
	obj.Members = kept
}

func checkMap(v *hujson.Value, t reflect.Type, path string, r *Report) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		reject(v, path, "an object", r)
		return
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		checkValue(&m.Value, t.Elem(), joinPath(path, memberName(*m)), r)
	}
}

func checkArray(v *hujson.Value, t reflect.Type, path string, r *Report) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		reject(v, path, "an array", r)
		return
	}
	for i := range arr.Elements {
		checkValue(&arr.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i), r)
	}
}

func checkLiteral(v *hujson.Value, t reflect.Type, path string, r *Report) {
	std := v.Clone()
	std.Minimize()
	err := json.Unmarshal(std.Pack(), reflect.New(t).Interface())
	if err != nil || std.Value.Kind() == 'n' {
		reject(v, path, describeType(t), r)
	}
}

// reject adds v to r as an invalid value and sets it to null.
func reject(v *hujson.Value, path, allowed string, r *Report) {
	if path == "" {
		path = rootField
	}
	r.Add(path, describeValue(*v), allowed)
	v.Value = hujson.Literal("null")
}

// describeValue returns the text for a value that an error reports as found.
func describeValue(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	}
	std := v.Clone()
	std.Minimize()
	text := string(std.Pack())
	if len(text) > maxFoundBytes {
		return strings.ToValidUTF8(text[:maxFoundBytes], "") + "…"
	}
	return text
}

// describeType returns the text for the values that a field of type t allows.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return fmt.Sprintf("a whole number of %d bits", t.Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("a whole number of %d bits, 0 or more", t.Bits())
	case reflect.Slice:
		return "a string of base64"
	}
	return "a value of type " + t.Name()
}

// jsonFields returns the names of t's JSON fields in the order of declaration, and
// their types by name.
func jsonFields(t reflect.Type) ([]string, map[string]reflect.Type) {
	names := []string{}
	types := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || f.Anonymous || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		names = append(names, name)
		types[name] = f.Type
	}
	return names, types
}

func memberName(m hujson.ObjectMember) string {
	if l, ok := m.Name.Value.(hujson.Literal); ok {
		return l.String()
	}
	return ""
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
