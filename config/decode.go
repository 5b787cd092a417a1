package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

// decode stores value in target. It adds a problem for every field that is unknown,
// repeated, missing or of the wrong type.
func (d *Document) decode(value *hujson.Value, target reflect.Value, path string) {
	if d.limitReached() {
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(value, target, path)
	case reflect.Slice:
		d.decodeArray(value, target, path)
	default:
		d.decodeLiteral(value, target, path)
	}
}

func (d *Document) decodeObject(value *hujson.Value, target reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.decodeProblemf(value, path, "want an object, found %s", jsonTypeName(value))
		return
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool, len(fields))
	for i := range object.Members {
		d.decodeMember(&object.Members[i], target, path, fields, seen)
	}
	for _, f := range fields {
		if !f.optional && !seen[f.name] {
			d.decodeProblemf(value, joinPath(path, f.name), "missing")
		}
	}
}

func (d *Document) decodeMember(member *hujson.ObjectMember, target reflect.Value, path string, fields []structField, seen map[string]bool) {
	name := member.Name.Value.(hujson.Literal).String()
	field := joinPath(path, name)
	for _, f := range fields {
		if f.name != name {
			continue
		}
		if seen[name] {
			d.decodeProblemf(&member.Name, field, "given twice")
			return
		}
		seen[name] = true
		d.decode(&member.Value, target.Field(f.index), field)
		return
	}
	d.decodeProblemf(&member.Name, field, "unknown field")
}

func (d *Document) decodeArray(value *hujson.Value, target reflect.Value, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.decodeProblemf(value, path, "want a list, found %s", jsonTypeName(value))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decode(&array.Elements[i], target.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

// literalKinds maps each Go kind that a field may have to its JSON type and to the
// description of that type in problems.
var literalKinds = map[reflect.Kind]struct {
	json hujson.Kind
	want string
}{
	reflect.String:  {'"', "a string"},
	reflect.Bool:    {'t', "true or false"},
	reflect.Int:     {'0', "a whole number"},
	reflect.Uint64:  {'0', "a whole number that is not negative"},
	reflect.Float64: {'0', "a number"},
}

func (d *Document) decodeLiteral(value *hujson.Value, target reflect.Value, path string) {
	want, ok := literalKinds[target.Kind()]
	if !ok {
		panic(fmt.Sprintf("config: field %s has the unsupported type %s", path, target.Type()))
	}
	literal, isLiteral := value.Value.(hujson.Literal)
	kind := value.Value.Kind()
	if kind == 'f' {
		kind = 't'
	}
	if !isLiteral || kind != want.json {
		d.decodeProblemf(value, path, "want %s, found %s", want.want, jsonTypeName(value))
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		d.decodeProblemf(value, path, "want %s, found %s", want.want, shorten(string(literal)))
	}
}

func jsonTypeName(value *hujson.Value) string {
	switch value.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "true or false"
	}
}

// structField describes one field of a struct according to its tags.
type structField struct {
	name     string
	index    int
	optional bool
}

// fieldsOf lists the tagged fields of t. A field may be left out of a file when
// it has a default or is left out of the encoded form when empty; every other
// field is required, because a forgotten rank would silently become rank 0.
func fieldsOf(t reflect.Type) []structField {
	if known, ok := knownFields.Load(t); ok {
		return known.([]structField)
	}
	var fields []structField
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name, options, _ := strings.Cut(tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		_, hasDefault := tag.Lookup("default")
		fields = append(fields, structField{name, i, hasDefault || options != ""})
	}
	knownFields.Store(t, fields)
	return fields
}

// knownFields caches the results of fieldsOf by reflect.Type.
var knownFields sync.Map

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// shorten cuts quoted input to 40 bytes, to bound the length of log lines.
func shorten(s string) string {
	const limit = 40
	if len(s) > limit {
		s = s[:limit] + "..."
	}
	return s
}
