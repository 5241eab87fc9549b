// Command basilnode runs one entry host on the users' platform.
package main

import (
	"context"
	"os"
)

func main() { os.Exit(run(context.Background(), os.Getenv, os.Stdout)) }
