package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Field describes one field of the settings file, as in docs/settings.md.
type Field struct {
	// Path is the field path, such as limits.max_calls.
	Path string
	// Type is the JSON type: string or number.
	Type string
	// Default is the value of a field that is missing in the file. It is empty for
	// a required field.
	Default string
	// Bounds is the allowed range of a number, such as 1..4096. It is empty if
	// there is none.
	Bounds string
	// Meaning describes the field, including its unit.
	Meaning string
}

// Fields returns all fields in the order of docs/settings.md.
func Fields() []Field {
	var fields []Field
	eachField(new(Settings), func(path string, f reflect.StructField, v reflect.Value) {
		fields = append(fields, describe(path, f))
	})
	return fields
}

func describe(path string, f reflect.StructField) Field {
	field := Field{Path: path, Type: "string", Default: f.Tag.Get("default"), Meaning: f.Tag.Get("doc")}
	if f.Type.Kind() == reflect.Int {
		field.Type = "number"
	}
	if low, high, ok := bounds(f); ok {
		field.Bounds = fmt.Sprintf("%d..%d", low, high)
	}
	return field
}

// bounds returns the values of the tags min and max; ok is false if there are none. It
// panics on a faulty tag, which is a programming error.
func bounds(f reflect.StructField) (low, high int, ok bool) {
	if _, ok := f.Tag.Lookup("min"); !ok {
		return 0, 0, false
	}
	return mustIntTag(f, "min"), mustIntTag(f, "max"), true
}

func mustIntTag(f reflect.StructField, tag string) int {
	n, err := strconv.Atoi(f.Tag.Get(tag))
	if err != nil {
		panic(fmt.Sprintf("settings: tag %s of %s: %v", tag, f.Name, err))
	}
	return n
}

func fillDefaults(s *Settings) {
	eachField(s, func(_ string, f reflect.StructField, v reflect.Value) {
		text, ok := f.Tag.Lookup("default")
		switch {
		case !ok:
		case v.Kind() == reflect.Int:
			v.SetInt(int64(mustIntTag(f, "default")))
		default:
			v.SetString(text)
		}
	})
}

// eachField calls visit for each field of s and of the structs in it, in order. It
// does not call it for the structs themselves.
func eachField(s *Settings, visit func(path string, f reflect.StructField, v reflect.Value)) {
	walkFields("", reflect.ValueOf(s).Elem(), visit)
}

func walkFields(prefix string, v reflect.Value, visit func(string, reflect.StructField, reflect.Value)) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Struct {
			walkFields(prefix+name+".", v.Field(i), visit)
			continue
		}
		visit(prefix+name, f, v.Field(i))
	}
}

// Row returns the row of the field in the table of docs/settings.md.
func (f Field) Row() string {
	defaultText := "required"
	if f.Default != "" {
		defaultText = "`" + f.Default + "`"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |", f.Path, f.Type, defaultText, f.Bounds, f.Meaning)
}
