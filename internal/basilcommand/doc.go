// Package basilcommand parses and executes operator commands. Each command makes
// one change and is identified by an id.
package basilcommand
