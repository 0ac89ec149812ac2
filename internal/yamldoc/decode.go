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

func (d *Document) decodeStruct(path string, node *ast.MappingNode, into any) {
	d.structValue(path, node, reflect.ValueOf(into).Elem())
}

func (d *Document) structValue(path string, node *ast.MappingNode, to reflect.Value) {
	fields, names := fieldsOf(to)
	for _, entry := range node.Values {
		name, ok := d.key(path, entry)
		if !ok {
			continue
		}
		field, known := fields[name]
		if !known {
			d.Add(join(path, name), "unknown field; allowed here: %s", strings.Join(names, ", "))
			continue
		}
		d.value(join(path, name), entry.Value, field)
	}
}

// key returns the name of a mapping entry and notes its line.
func (d *Document) key(path string, entry *ast.MappingValueNode) (string, bool) {
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
	field := join(path, name)
	repeated := d.Has(field)
	d.lines[field] = token.Position.Line
	if repeated {
		d.Add(field, "the field is given twice; give it once")
	}
	return name, !repeated
}

func (d *Document) value(path string, node ast.Node, to reflect.Value) {
	if node == nil || node.Type() == ast.NullType {
		d.Add(path, "has no value; leave the field out or give a value")
		return
	}
	switch to.Kind() {
	case reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		d.value(path, node, to.Elem())
	case reflect.Struct:
		if mapping, ok := node.(*ast.MappingNode); ok {
			d.structValue(path, mapping, to)
			return
		}
		_, names := fieldsOf(to)
		d.Add(path, "must be a mapping with fields of %s", strings.Join(names, ", "))
	case reflect.Slice:
		d.slice(path, node, to)
	case reflect.Map:
		d.stringMap(path, node, to)
	default:
		d.scalar(path, node, to)
	}
}

func (d *Document) slice(path string, node ast.Node, to reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.Add(path, "must be a list")
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		itemPath := path + "[" + strconv.Itoa(i) + "]"
		d.lines[itemPath] = itemLine(item, d.Line(path))
		d.value(itemPath, item, to.Index(i))
	}
}

// itemLine returns the line of a list item; the token of a block mapping is
// the colon of its first entry.
func itemLine(item ast.Node, otherwise int) int {
	if item == nil {
		return otherwise
	}
	if token := item.GetToken(); token != nil && token.Position != nil {
		return token.Position.Line
	}
	return otherwise
}

// stringMap decodes a map from strings to strings.
func (d *Document) stringMap(path string, node ast.Node, to reflect.Value) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		d.Add(path, "must be a mapping of names to strings")
		return
	}
	to.Set(reflect.MakeMap(to.Type()))
	for _, entry := range mapping.Values {
		name, ok := d.key(path, entry)
		if !ok {
			continue
		}
		item := reflect.New(to.Type().Elem()).Elem()
		d.value(join(path, name), entry.Value, item)
		to.SetMapIndex(reflect.ValueOf(name), item)
	}
}

func (d *Document) scalar(path string, node ast.Node, to reflect.Value) {
	var text string
	switch node := node.(type) {
	case *ast.LiteralNode:
		text = node.Value.Value
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		text = node.GetToken().Value
	default:
		d.Add(path, "must be a single value; lists, mappings, anchors, aliases and tags are not supported here")
		return
	}
	scalar := node.(ast.ScalarNode)
	switch {
	case to.Type() == durationType:
		d.duration(path, text, to)
	case to.Kind() == reflect.String:
		to.SetString(text)
	case to.Kind() == reflect.Bool:
		value, isBool := scalar.GetValue().(bool)
		if !isBool {
			d.Add(path, "is %q; must be true or false", text)
		}
		to.SetBool(value)
	case to.CanInt(), to.CanUint():
		d.whole(path, text, scalar, to)
	case to.CanFloat():
		d.fraction(path, text, to)
	default:
		panic("yamldoc: unsupported field type " + to.Type().String())
	}
}

func (d *Document) duration(path, text string, to reflect.Value) {
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Add(path, "is %q; must be a duration with a unit, such as 250ms, 2s or 1m30s", text)
		return
	}
	to.SetInt(int64(value))
}

func (d *Document) whole(path, text string, scalar ast.ScalarNode, to reflect.Value) {
	_, isWhole := scalar.(*ast.IntegerNode)
	switch value := scalar.GetValue().(type) {
	case int64:
		if to.CanInt() && !to.OverflowInt(value) {
			to.SetInt(value)
			return
		}
	case uint64:
		if to.CanUint() && !to.OverflowUint(value) {
			to.SetUint(value)
			return
		}
		if to.CanInt() && value <= math.MaxInt64 && !to.OverflowInt(int64(value)) {
			to.SetInt(int64(value))
			return
		}
	}
	if isWhole {
		d.Add(path, "is %s, which is out of range", text)
		return
	}
	d.Add(path, "is %q; must be a whole number without quotes", text)
}

func (d *Document) fraction(path, text string, to reflect.Value) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		d.Add(path, "is %q; must be a number such as 0.01", text)
		return
	}
	to.SetFloat(value)
}

// fieldsOf returns the fields of a struct by yaml tag, and the tags in order.
func fieldsOf(to reflect.Value) (map[string]reflect.Value, []string) {
	fields := make(map[string]reflect.Value, to.NumField())
	var names []string
	for i := range to.NumField() {
		name := to.Type().Field(i).Tag.Get("yaml")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = to.Field(i)
		names = append(names, name)
	}
	return fields, names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
