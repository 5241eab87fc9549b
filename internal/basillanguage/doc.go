// Package basillanguage holds what queries and commands of the operators'
// language share: its lexer, its syntax errors and the nearest known word.
package basillanguage
