// Command daisyctl publishes profiles and pools and shows operators the state
// and decisions of the daemons.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"daisyshed.dev/daisyctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
