// Package settings reads the settings of one daemon: a YAML file that is
// provisioned with defaults and then validated as a whole. Every mistake is
// reported with its file, line, field and what is allowed.
package settings
