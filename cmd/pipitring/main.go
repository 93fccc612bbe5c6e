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
	exitOK          = 0
	exitCheckFailed = 1 // a check found errors
	exitUsage       = 2 // invalid usage or settings
)

// errCheckFailed reports that a check found errors, which are already printed.
var errCheckFailed = errors.New("a check failed")

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command line and returns the exit status.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "pipitring", Short: "Call router over trunk groups of a private voice network",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serveCommand(), platformCommand(), checkCommand(), dayCommand(), rulesCommand(), labCommand(), cdrCommand())
	root.SetArgs(args)
	switch err := root.ExecuteContext(ctx); {
	case err == nil:
		return exitOK
	case errors.Is(err, errCheckFailed):
		return exitCheckFailed
	default:
		fmt.Fprintln(os.Stderr, "pipitring:", err)
		return exitUsage
	}
}
