// Package settings reads the settings file of one daemon.
//
// The file is JSON with comments. It is read once at start and checked
// strictly: unknown fields, missing fields, wrong types and values outside
// their bounds are all reported with file, line and field path, in one pass. A
// field with a default may be left out. All addresses are IP addresses with a
// port, so that a daemon never depends on name resolution.
//
// The struct tags of the types in this package are the only source of defaults,
// bounds and the table in docs/settings.md: default, min and max hold values, doc
// holds the meaning. A Settings value is plain data.
package settings
