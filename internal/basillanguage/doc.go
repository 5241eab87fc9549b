// Package basillanguage contains the parts that the query and command grammars
// share: the lexer, syntax errors and suggestions for misspelled words.
package basillanguage
