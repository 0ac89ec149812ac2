package yamldoc

import (
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

func (d *Document) decodeRoot(path string, node *ast.MappingNode, target any) {
	d.decodeFields(path, node, reflect.ValueOf(target).Elem())
}

func (d *Document) decodeFields(path string, node *ast.MappingNode, target reflect.Value) {
	fields, names := structFields(target)
	for _, entry := range node.Values {
		name, ok := d.readFieldName(path, entry)
		if !ok {
			continue
		}
		field, known := fields[name]
		if !known {
			d.AddProblem(joinField(path, name), "unknown field; allowed here: %s", strings.Join(names, ", "))
			continue
		}
		d.decodeValue(joinField(path, name), entry.Value, field)
	}
}

// readFieldName returns the name of a mapping entry and records its line. It records
// a problem and reports false if the name is not a scalar or a duplicate.
func (d *Document) readFieldName(path string, entry *ast.MappingValueNode) (string, bool) {
	token := entry.Key.GetToken()
	scalar, ok := entry.Key.(ast.ScalarNode)
	if !ok || entry.Key.IsMergeKey() {
		line := d.Line(path)
		if token != nil && token.Position != nil {
			line = token.Position.Line
		}
		d.problems = append(d.problems, Problem{File: d.name, Line: line, Field: path,
			Reason: "field names must be plain words; merge keys and aliases are not supported"})
		return "", false
	}
	name := scalar.GetToken().Value
	field := joinField(path, name)
	duplicate := d.Has(field)
	d.lines[field] = token.Position.Line
	if duplicate {
		d.AddProblem(field, "the field is given twice; give it once")
	}
	return name, !duplicate
}

func (d *Document) decodeValue(path string, node ast.Node, target reflect.Value) {
	if node == nil || node.Type() == ast.NullType {
		d.AddProblem(path, "has no value; leave the field out or give a value")
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(path, node, target.Elem())
	case reflect.Struct:
		if mapping, ok := node.(*ast.MappingNode); ok {
			d.decodeFields(path, mapping, target)
			return
		}
		_, names := structFields(target)
		d.AddProblem(path, "must be a mapping with fields of %s", strings.Join(names, ", "))
	case reflect.Slice:
		d.decodeSlice(path, node, target)
	case reflect.Map:
		d.decodeStringMap(path, node, target)
	default:
		d.decodeScalar(path, node, target)
	}
}

func (d *Document) decodeSlice(path string, node ast.Node, target reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.AddProblem(path, "must be a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		itemPath := path + "[" + strconv.Itoa(i) + "]"
		d.lines[itemPath] = itemLine(item, d.Line(path))
		d.decodeValue(itemPath, item, target.Index(i))
	}
}

// itemLine returns the line of a list item, or fallback if it is unknown. For a block
// mapping it is the line of the colon after the first key.
func itemLine(item ast.Node, fallback int) int {
	if item == nil {
		return fallback
	}
	if token := item.GetToken(); token != nil && token.Position != nil {
		return token.Position.Line
	}
	return fallback
}

// decodeStringMap decodes a map from strings to strings.
func (d *Document) decodeStringMap(path string, node ast.Node, target reflect.Value) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		d.AddProblem(path, "must be a mapping of names to strings")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, entry := range mapping.Values {
		name, ok := d.readFieldName(path, entry)
		if !ok {
			continue
		}
		item := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(joinField(path, name), entry.Value, item)
		target.SetMapIndex(reflect.ValueOf(name), item)
	}
}

func (d *Document) decodeScalar(path string, node ast.Node, target reflect.Value) {
	var text string
	switch node := node.(type) {
	case *ast.LiteralNode:
		text = node.Value.Value
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		text = node.GetToken().Value
	default:
		d.AddProblem(path, "must be a single value; lists, mappings, anchors, aliases and tags are not supported here")
		return
	}
	scalar := node.(ast.ScalarNode)
	switch {
	case target.Type() == durationType:
		d.decodeDuration(path, text, target)
	case target.Kind() == reflect.String:
		target.SetString(text)
	case target.Kind() == reflect.Bool:
		value, isBool := scalar.GetValue().(bool)
		if !isBool {
			d.AddProblem(path, "is %q; must be true or false", text)
		}
		target.SetBool(value)
	case target.CanInt(), target.CanUint():
		d.decodeInteger(path, text, scalar, target)
	case target.CanFloat():
		d.decodeFloat(path, text, target)
	default:
		panic("yamldoc: unsupported field type " + target.Type().String())
	}
}

func (d *Document) decodeDuration(path, text string, target reflect.Value) {
	value, err := time.ParseDuration(text)
	if err != nil {
		d.AddProblem(path, "is %q; must be a duration with a unit, such as 250ms, 2s or 1m30s", text)
		return
	}
	target.SetInt(int64(value))
}

func (d *Document) decodeInteger(path, text string, scalar ast.ScalarNode, target reflect.Value) {
	_, isInteger := scalar.(*ast.IntegerNode)
	switch value := scalar.GetValue().(type) {
	case int64:
		if target.CanInt() && !target.OverflowInt(value) {
			target.SetInt(value)
			return
		}
	case uint64:
		if target.CanUint() && !target.OverflowUint(value) {
			target.SetUint(value)
			return
		}
		if target.CanInt() && value <= math.MaxInt64 && !target.OverflowInt(int64(value)) {
			target.SetInt(int64(value))
			return
		}
	}
	if isInteger {
		d.AddProblem(path, "is %s, which is out of range", text)
		return
	}
	d.AddProblem(path, "is %q; must be a whole number without quotes", text)
}

func (d *Document) decodeFloat(path, text string, target reflect.Value) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		d.AddProblem(path, "is %q; must be a number such as 0.01", text)
		return
	}
	target.SetFloat(value)
}

// structFields returns the fields of a struct by yaml tag, and the tags in the order
// of declaration.
func structFields(target reflect.Value) (map[string]reflect.Value, []string) {
	fields := make(map[string]reflect.Value, target.NumField())
	var names []string
	for i := range target.NumField() {
		name := target.Type().Field(i).Tag.Get("yaml")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = target.Field(i)
		names = append(names, name)
	}
	return fields, names
}

func joinField(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
