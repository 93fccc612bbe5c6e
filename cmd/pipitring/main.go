// Command pipitring is the call router and its tools.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitGood   = 0
	exitBroken = 1 // a rule or a check failed
	exitUse    = 2 // wrong use or settings
)

// errBroken says that the tool ran and found something broken, which it has printed.
var errBroken = errors.New("something is broken")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "pipitring", Short: "Call router over trunk groups of a private voice network",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serveCommand(), platformCommand(), checkCommand(), dayCommand(), rulesCommand(), labCommand(), cdrCommand())
	root.SetArgs(args)
	switch err := root.ExecuteContext(ctx); {
	case err == nil:
		return exitGood
	case errors.Is(err, errBroken):
		return exitBroken
	default:
		fmt.Fprintln(os.Stderr, "pipitring:", err)
		return exitUse
	}
}
