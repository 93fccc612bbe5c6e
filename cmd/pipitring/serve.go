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
	c.Flags().StringVarP(&file, "config", "c", "", "settings file (TOML)")
	return c
}

// serve runs one router. SIGTERM and SIGINT drain it, a second one of them stops it at once. SIGHUP reloads the
// settings.
func serve(ctx context.Context, file string) error {
	settings, err := config.Load(file)
	if err != nil {
		return err
	}
	log, err := runtime.NewLogger(settings.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // fails on terminals; such an error could not be logged anyway
	r, err := runtime.Start(settings, log)
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
				log.Error("settings reload failed, keeping the old ones", zap.Error(err))
			}
		case <-ctx.Done():
			secondSignal, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return r.Drain(secondSignal)
		}
	}
}

// serveBuiltIn runs three routers and their switches on loopback, as a demonstration.
func serveBuiltIn(ctx context.Context) error {
	return lab.RunDemo(ctx, func(line string) { fmt.Fprintln(os.Stderr, line) })
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a router's settings; report every error with file, line and key",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			settings, err := config.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Printf("%s: valid: exchange %d, %d classes, %d groups\n", args[0], settings.Router.Exchange, len(settings.Class), len(settings.GroupSizes))
			return nil
		}}
}
