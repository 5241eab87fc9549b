// Package basiltrace tells whether an HTTP request may have reached its server.
package basiltrace
