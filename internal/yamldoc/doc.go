// Package yamldoc decodes hand-written YAML files into structs. It rejects unknown
// fields and reports every mistake of a file at once, each with its line and
// field.
package yamldoc
