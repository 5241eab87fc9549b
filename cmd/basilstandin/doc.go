// Command basilstandin runs stand-ins of the platform and of backend servers,
// for development and tests.
package main
