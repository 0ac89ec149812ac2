// Package yamldoc decodes YAML files that people write into structs. It
// reports every mistake of a file at once, each with its line and field, and
// refuses unknown fields.
package yamldoc
