package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"pipitring/internal/config"
	"pipitring/internal/lab"
	"pipitring/internal/runtime"
)

func serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{Use: "serve", Short: "Run the router; without -c, a small built-in network on loopback", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return serveBuiltIn(cmd.Context())
			}
			return serve(cmd.Context(), file)
		}}
	c.Flags().StringVarP(&file, "config", "c", "", "settings (TOML)")
	return c
}

// serve runs one router: SIGTERM and SIGINT drain it, a second one ends it, SIGHUP rereads the settings.
func serve(ctx context.Context, file string) error {
	set, err := config.Load(file)
	if err != nil {
		return err
	}
	log, err := runtime.NewLogger(set.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // fails on terminals, and there is nowhere left to say so
	r, err := runtime.Start(set, log)
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
			next, err := config.Load(file)
			if err == nil {
				err = r.Reload(next)
			}
			if err != nil {
				log.Error("settings not reloaded: the old ones stay", zap.Error(err))
			}
		case <-ctx.Done():
			again, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return r.Drain(again)
		}
	}
}

// serveBuiltIn runs three routers with their switches on loopback, for a first look.
func serveBuiltIn(ctx context.Context) error {
	return lab.Demo(ctx, func(line string) { fmt.Fprintln(os.Stderr, line) })
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a router's settings; every error is told with file, line and key",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			set, err := config.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Printf("%s: good: exchange %d, %d classes, %d groups\n", args[0], set.Router.Exchange, len(set.Class), len(set.GroupSizes))
			return nil
		}}
}
