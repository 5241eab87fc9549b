// Command basilstage manages the capacity and maintenance of a fleet of hosts
// and runs the jobs of its customers.
package main

import (
	"context"
	"os"

	"basilstage.example/basilstage/cmd"
)

func main() {
	os.Exit(cmd.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
