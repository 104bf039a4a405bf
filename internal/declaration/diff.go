package declaration

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// FieldChange is a field that differs between two versions of a document. Old is
// empty for an added field, New for a removed one. Key hashes are redacted.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns the change on one line.
func (f FieldChange) String() string {
	switch {
	case f.Old == "":
		return f.Field + ": " + f.New
	case f.New == "":
		return f.Field + ": " + f.Old + " removed"
	}
	return f.Field + ": " + f.Old + " -> " + f.New
}

// flatField is one scalar of a document with its path.
type flatField struct{ path, text string }

// Diff lists the fields that differ between two versions of a document, in the
// order of the fields of the body's Go type, with the keys of maps sorted. Removed
// fields come last. Either document may be nil.
func Diff(old, next *pb.Document) ([]FieldChange, error) {
	before, err := flatten(old)
	if err != nil {
		return nil, err
	}
	after, err := flatten(next)
	if err != nil {
		return nil, err
	}
	oldTexts := make(map[string]string, len(before))
	for _, f := range before {
		oldTexts[f.path] = f.text
	}
	var changes []FieldChange
	for _, f := range after {
		if text, ok := oldTexts[f.path]; !ok || text != f.text {
			changes = append(changes, fieldChange(f.path, text, f.text))
		}
		delete(oldTexts, f.path)
	}
	for _, f := range before {
		if _, removed := oldTexts[f.path]; removed {
			changes = append(changes, fieldChange(f.path, f.text, ""))
		}
	}
	return changes, nil
}

func fieldChange(path, old, next string) FieldChange {
	return FieldChange{Field: path, Old: redactHash(path, old), New: redactHash(path, next)}
}

// redactHash hides the values of the fields key-hashes and token-hash.
func redactHash(path, text string) string {
	if text != "" && strings.Contains(path, "-hash") {
		return "(hidden)"
	}
	return text
}

func flatten(doc *pb.Document) ([]flatField, error) {
	if len(doc.GetBody()) == 0 {
		return nil, nil
	}
	body, err := decodeBody(doc, false)
	if err != nil {
		return nil, err
	}
	return flattenValue(nil, "", reflect.ValueOf(body).Elem()), nil
}

// flattenValue appends the scalars of a declared value, which is at path, to fields.
func flattenValue(fields []flatField, path string, v reflect.Value) []flatField {
	if scalar, ok := v.Interface().(Scalar); ok {
		if scalar.IsZero() {
			return fields
		}
		return append(fields, flatField{path, scalar.Text})
	}
	switch v.Kind() {
	case reflect.Struct:
		for i, name := range fieldNames(v.Type()) {
			if name != "" {
				fields = flattenValue(fields, joinPath(path, name), v.Field(i))
			}
		}
	case reflect.Map:
		values := v.Interface().(map[string]Scalar)
		for _, name := range sortedKeys(values) {
			fields = append(fields, flatField{joinPath(path, name), values[name].Text})
		}
	case reflect.Slice:
		for i := range v.Len() {
			fields = flattenValue(fields, path+"["+itemName(v.Index(i), i)+"]", v.Index(i))
		}
	}
	return fields
}

// itemName returns the Name field of a list item, or its index if it has none.
func itemName(item reflect.Value, index int) string {
	if item.Kind() == reflect.Struct {
		if name := item.FieldByName("Name"); name.IsValid() {
			return name.Interface().(Scalar).Text
		}
	}
	return strconv.Itoa(index)
}
