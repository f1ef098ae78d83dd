// Command hemlockport runs an entry instance and offers the commands and queries of
// operators.
package main

import (
	"context"
	"os"

	"github.com/hemlockport/hemlockport/internal/commander"
)

func main() {
	os.Exit(commander.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
