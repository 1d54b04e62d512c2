package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Decode reads a manifest strictly and validates it. Every unknown field,
// wrong type and invalid value is reported at once, as an error of kind
// Invalid around Problems.
func Decode(document []byte) (*Manifest, error) {
	m, problems := parse(document)
	if len(problems) == 0 {
		problems = m.Validate()
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

// parse reads the document's structure; the manifest is complete only if there
// are no problems.
func parse(document []byte) (*Manifest, Problems) {
	var problems Problems
	var tree any
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		problems.add("$", "correct the JSON", "the document is not JSON near byte %d: %v", decoder.InputOffset(), err)
		return nil, problems
	}
	if decoder.More() {
		problems.add("$", "submit one document", "there is more after the manifest")
		return nil, problems
	}
	m := &Manifest{}
	checkType(&problems, "", tree, reflect.TypeFor[Manifest]())
	if len(problems) > 0 {
		return nil, problems
	}
	if err := json.Unmarshal(document, m); err != nil {
		problems.add("$", "correct the value", "%v", err)
	}
	return m, problems
}

// checkType compares a JSON value with the Go type that it is read into.
func checkType(problems *Problems, path string, value any, t reflect.Type) {
	if value == nil {
		problems.add(rootPath(path), "write a value, or leave the field out", "null is not a value")
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		checkType(problems, path, value, t.Elem())
	case reflect.Struct:
		checkObject(problems, path, value, t)
	case reflect.Slice:
		checkList(problems, path, value, t)
	default:
		checkScalar(problems, path, value, t)
	}
}

func checkObject(problems *Problems, path string, value any, t reflect.Type) {
	fields, ok := value.(map[string]any)
	if !ok {
		wrongType(problems, path, "an object", value)
		return
	}
	known := fieldTypes(t)
	for _, name := range sortedNames(fields) {
		at := strings.TrimPrefix(path+"."+name, ".")
		if fieldType, ok := known[name]; ok {
			checkType(problems, at, fields[name], fieldType)
		} else {
			problems.add(at, "remove it, or correct its name; docs/MANIFEST.md lists the fields", "there is no such field")
		}
	}
}

func checkList(problems *Problems, path string, value any, t reflect.Type) {
	items, ok := value.([]any)
	if !ok {
		wrongType(problems, path, "a list", value)
		return
	}
	for i, item := range items {
		checkType(problems, fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
	}
}

func checkScalar(problems *Problems, path string, value any, t reflect.Type) {
	fits, wanted := false, ""
	switch t.Kind() {
	case reflect.String:
		_, fits = value.(string)
		wanted = "a string"
	case reflect.Bool:
		_, fits = value.(bool)
		wanted = "true or false"
	case reflect.Int, reflect.Int64:
		if number, ok := value.(json.Number); ok {
			_, err := number.Int64()
			fits = err == nil
		}
		wanted = "a whole number"
	case reflect.Float64:
		_, fits = value.(json.Number)
		wanted = "a number"
	}
	if !fits {
		wrongType(problems, path, wanted, value)
	}
}

func wrongType(problems *Problems, path, wanted string, value any) {
	problems.add(rootPath(path), "write "+wanted, "%s has the wrong type", describe(value))
}

func describe(value any) string {
	switch typed := value.(type) {
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return fmt.Sprintf("%q", typed)
	}
	return fmt.Sprint(value)
}

func rootPath(path string) string {
	if path == "" {
		return "$"
	}
	return path
}

// fieldTypes returns the types of a struct's fields by their names in JSON.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		types[name] = t.Field(i).Type
	}
	return types
}
