package declaration

import (
	"fmt"
	"io/fs"
	"path"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// parsedDocument is a decoded document with its position. File is empty and
// line 0 for a document that was received in a message.
type parsedDocument struct {
	file string
	line int
	key  Key
	body Body
}

// documentHeader holds the fields that documents of all kinds have.
type documentHeader struct {
	Kind Scalar `json:"kind"`
	Name Scalar `json:"name"`
}

// readDir reads all .yaml and .yml files below the root, in the order of their
// paths. The error reports a failed read and not invalid documents.
func readDir(fsys fs.FS) ([]parsedDocument, ValidationErrors, error) {
	var docs []parsedDocument
	var errs ValidationErrors
	err := fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if ext := path.Ext(name); entry.IsDir() || ext != ".yaml" && ext != ".yml" {
			return nil
		}
		data, err := fs.ReadFile(fsys, name)
		if err != nil {
			return err
		}
		fileDocs, fileErrs := readFile(name, data)
		docs = append(docs, fileDocs...)
		errs = append(errs, fileErrs...)
		return nil
	})
	return docs, errs, errors.Wrap(err, "read declarations")
}

// readFile parses the documents of one file.
func readFile(file string, data []byte) ([]parsedDocument, ValidationErrors) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, ValidationErrors{syntaxError(file, err)}
	}
	var docs []parsedDocument
	var errs ValidationErrors
	for _, doc := range tree.Docs {
		if doc.Body == nil {
			continue
		}
		r := documentReader{file: file}
		if p, ok := r.decodeDocument(doc.Body); ok {
			docs = append(docs, p)
		}
		errs = append(errs, r.errs...)
	}
	return docs, errs
}

func syntaxError(file string, err error) ValidationError {
	e := ValidationError{File: file, Line: 1, Value: "YAML", Expected: firstLine(err.Error())}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		e.Expected = syntax.GetMessage()
		if token := syntax.GetToken(); token != nil {
			e.Line = token.Position.Line
			e.Value = token.Value
		}
	}
	return e
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// documentReader decodes the syntax tree of one YAML document and collects its
// validation errors.
type documentReader struct {
	file string
	key  Key
	errs ValidationErrors
}

func (r *documentReader) addError(line int, field, value, expected string) {
	r.errs = append(r.errs, ValidationError{r.file, line, r.key, field, value, expected})
}

// decodeDocument decodes a document. It reports false if the kind or name is invalid.
func (r *documentReader) decodeDocument(node ast.Node) (parsedDocument, bool) {
	fields, ok := mappingFields(node)
	if !ok {
		r.addError(lineOf(node), "", truncate(node.String()), "want a mapping with kind and name")
		return parsedDocument{}, false
	}
	var header documentHeader
	var bodyFields []*ast.MappingValueNode
	for _, field := range fields {
		switch mappingKey(field) {
		case "kind":
			r.scalar(field.Value, "kind", &header.Kind)
		case "name":
			r.scalar(field.Value, "name", &header.Name)
		default:
			bodyFields = append(bodyFields, field)
		}
	}
	kind := Kind(header.Kind.Text)
	body := newBody(kind)
	if body == nil {
		r.addError(lineOf(node), "kind", header.Kind.Text, "want one of "+kindList())
		return parsedDocument{}, false
	}
	if !isName(header.Name.Text) {
		r.addError(lineOf(node), "name", header.Name.Text, expectedName)
		return parsedDocument{}, false
	}
	r.key = KeyOf(kind, header.Name.Text)
	r.fields(bodyFields, lineOf(node), "", reflect.ValueOf(body).Elem())
	return parsedDocument{r.file, lineOf(node), r.key, body}, true
}

func kindList() string {
	names := make([]string, 0, len(kinds))
	for _, kind := range kinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// decodeValue decodes a node into the scalar, struct, slice or map of scalars that
// target addresses. Field is the path of the node in the document.
func (r *documentReader) decodeValue(node ast.Node, field string, target reflect.Value) {
	if scalar, ok := target.Addr().Interface().(*Scalar); ok {
		r.scalar(node, field, scalar)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		fields, ok := mappingFields(node)
		if !ok {
			r.addError(lineOf(node), field, truncate(node.String()), "want a mapping")
			return
		}
		r.fields(fields, lineOf(node), field, target)
	case reflect.Map:
		r.decodeScalarMap(node, field, target)
	case reflect.Slice:
		sequence, ok := node.(*ast.SequenceNode)
		if !ok {
			r.addError(lineOf(node), field, truncate(node.String()), "want a list")
			return
		}
		target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))
		for i, item := range sequence.Values {
			r.decodeValue(item, field+"["+strconv.Itoa(i)+"]", target.Index(i))
		}
	}
}

// fields decodes the fields of a mapping into a struct and sets its Line field.
func (r *documentReader) fields(nodes []*ast.MappingValueNode, line int, prefix string, target reflect.Value) {
	target.FieldByName("Line").SetInt(int64(line))
	names := fieldNames(target.Type())
	for _, node := range nodes {
		name := mappingKey(node)
		i := slices.Index(names, name)
		if i < 0 {
			r.addError(lineOf(node.Key), joinPath(prefix, name), truncate(node.Value.String()), "unknown field, want one of "+fieldList(names))
			continue
		}
		r.decodeValue(node.Value, joinPath(prefix, name), target.Field(i))
	}
}

// decodeScalarMap decodes a mapping of names to scalars into a map[string]Scalar.
func (r *documentReader) decodeScalarMap(node ast.Node, field string, target reflect.Value) {
	nodes, ok := mappingFields(node)
	if !ok {
		r.addError(lineOf(node), field, truncate(node.String()), "want a mapping")
		return
	}
	values := make(map[string]Scalar, len(nodes))
	for _, n := range nodes {
		var s Scalar
		r.scalar(n.Value, joinPath(field, mappingKey(n)), &s)
		values[mappingKey(n)] = s
	}
	target.Set(reflect.ValueOf(values))
}

// scalar decodes a node into a scalar that must not be empty.
func (r *documentReader) scalar(node ast.Node, field string, target *Scalar) {
	target.Line = lineOf(node)
	switch n := node.(type) {
	case *ast.StringNode:
		target.Text = n.Value
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		target.Text = node.GetToken().Value
	default:
		r.addError(target.Line, field, truncate(node.String()), "want a single value")
		return
	}
	if target.Text == "" {
		r.addError(target.Line, field, `""`, "want a value that is not empty")
	}
}

// fieldNames returns the declared name of each field of a struct by its index,
// "" for a field that is not part of the declaration.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "-" {
			names[i] = name
		}
	}
	return names
}

func fieldList(fields []string) string {
	var names []string
	for _, name := range fields {
		if name != "" {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// mappingFields returns the fields of a mapping node. The parser represents a
// mapping with one field as a MappingValueNode.
func mappingFields(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func mappingKey(node *ast.MappingValueNode) string {
	if s, ok := node.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return node.Key.String()
}

// lineOf returns the line of a node in its file, 1 if the node has no token. The
// line of a mapping is that of its first key.
func lineOf(node ast.Node) int {
	if fields, ok := node.(*ast.MappingNode); ok && len(fields.Values) > 0 {
		return lineOf(fields.Values[0].Key)
	}
	if field, ok := node.(*ast.MappingValueNode); ok {
		return lineOf(field.Key)
	}
	if token := node.GetToken(); token != nil && token.Position != nil {
		return token.Position.Line
	}
	return 1
}

func joinPath(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// truncate collapses the white space of a value for a validation error and cuts
// it to 40 bytes.
func truncate(text string) string {
	const maxBytes = 40
	text = strings.Join(strings.Fields(text), " ")
	if len(text) > maxBytes {
		return fmt.Sprintf("%.*s...", maxBytes, text)
	}
	return text
}
