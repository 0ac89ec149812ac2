// Package settings reads the settings of one daemon from a YAML file, applies
// defaults and validates the result as a whole. Every mistake is reported with
// its file, line, field and what is allowed.
package settings
