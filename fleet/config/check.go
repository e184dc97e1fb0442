package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// maxFoundBytes bounds how much of a bad value an error repeats.
const maxFoundBytes = 64

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func typeOf[T any](T) reflect.Type { return reflect.TypeFor[T]() }

// fit compares v with type t. It notes what does not fit in r, removes unknown
// members and sets bad values to null, so that the rest can be decoded.
func fit(v *hujson.Value, t reflect.Type, path string, r *Report) {
	if t.Kind() == reflect.Pointer {
		if v.Value.Kind() != 'n' {
			fit(v, t.Elem(), path, r)
		}
		return
	}
	switch {
	case t == reflect.TypeFor[json.RawMessage]() || t.Kind() == reflect.Interface:
	case reflect.PointerTo(t).Implements(unmarshalerType):
		fitLiteral(v, t, path, r)
	case t.Kind() == reflect.Struct:
		fitObject(v, t, path, r)
	case t.Kind() == reflect.Map:
		fitMap(v, t, path, r)
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		fitArray(v, t, path, r)
	default:
		fitLiteral(v, t, path, r)
	}
}

func fitObject(v *hujson.Value, t reflect.Type, path string, r *Report) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		reject(v, path, "an object", r)
		return
	}
	names, types := fieldsOf(t)
	seen := map[string]bool{}
	kept := obj.Members[:0]
	for _, m := range obj.Members {
		name := memberName(m)
		at := join(path, name)
		ft, known := types[name]
		switch {
		case !known:
			r.Add(at, "an unknown field", "one of "+strings.Join(names, ", "))
		case seen[name]:
			r.Add(at, "the field twice", "once")
		default:
			seen[name] = true
			fit(&m.Value, ft, at, r)
			kept = append(kept, m)
		}
	}
	obj.Members = kept
}

func fitMap(v *hujson.Value, t reflect.Type, path string, r *Report) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		reject(v, path, "an object", r)
		return
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		fit(&m.Value, t.Elem(), join(path, memberName(*m)), r)
	}
}

func fitArray(v *hujson.Value, t reflect.Type, path string, r *Report) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		reject(v, path, "an array", r)
		return
	}
	for i := range arr.Elements {
		fit(&arr.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i), r)
	}
}

func fitLiteral(v *hujson.Value, t reflect.Type, path string, r *Report) {
	std := v.Clone()
	std.Minimize()
	err := json.Unmarshal(std.Pack(), reflect.New(t).Interface())
	if err != nil || std.Value.Kind() == 'n' {
		reject(v, path, allowedFor(t), r)
	}
}

// reject notes v as bad and sets it to null.
func reject(v *hujson.Value, path, allowed string, r *Report) {
	if path == "" {
		path = rootField
	}
	r.Add(path, foundIn(*v), allowed)
	v.Value = hujson.Literal("null")
}

func foundIn(v hujson.Value) string {
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

func allowedFor(t reflect.Type) string {
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

// fieldsOf returns the names of t's JSON fields in order, and their types.
func fieldsOf(t reflect.Type) ([]string, map[string]reflect.Type) {
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
