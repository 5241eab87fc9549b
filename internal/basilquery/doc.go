// Package basilquery parses and executes operator queries. Queries are read-only.
package basilquery
