// Package config defines the configuration that operators publish: the
// descriptions of services and the sheet, a demand forecast for the coming days.
// It is published in an envelope with a version and a checksum.
//
// # Files
//
// Parse reads both parts from one file; ParseDescriptions, ParseSheet and Merge
// read them from two. Files are JSON with comments and are checked strictly. A
// Problem names file, line and field; all problems are reported in one pass,
// except that the values of a field that cannot be decoded are not checked,
// the services of a sheet are checked by Merge, and at most MaxProblems are
// listed. docs/formats.md describes the fields and rules.
//
// # Envelopes
//
// Seal checks a configuration and encodes it. Open applies every check again, so
// that no daemon depends on the tool that published a configuration. Because
// unknown fields are refused, a field that is new in a release may be used only
// when every daemon runs that release. The checksum detects damage; it is no
// signature and does not show who published.
//
// A Store holds the configuration in force. It accepts only valid configurations
// of a higher version, so the version never decreases. It reports different
// content under the same version as Conflict and keeps the first.
//
// # Concurrency and limits
//
// A Config is immutable after Parse, Merge or Open; all its values may then be
// read from several goroutines. Files and envelope bodies are at most MaxBytes
// long, are nested at most 32 levels deep and have at most 65,536 values. The
// checks neither compare slots with the demand of the sheet nor find out whether
// an upstream exists.
package config
