package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"pipitring/internal/capture"
	"pipitring/internal/config"
	"pipitring/internal/lab"
	"pipitring/internal/rules"
	"pipitring/internal/runtime"
)

func dayCommand() *cobra.Command {
	var asJSON, debug, virtual bool
	var file, front string
	c := &cobra.Command{Use: "day [SCRIPT]", Args: cobra.MaximumNArgs(1),
		Short: "Run a fleet on loopback through a scripted day of faults and check the rules from its capture",
		Long:  "Without SCRIPT the built-in day is run. Kinds of fault:\n\n  " + strings.Join(lab.FaultKindHelp(), "\n  "),
		RunE: func(cmd *cobra.Command, args []string) error {
			script, err := lab.BuiltInScript()
			if len(args) > 0 {
				script, err = lab.LoadScript(args[0])
			}
			if err != nil {
				return err
			}
			if front != "" {
				if err := checkFront(front); err != nil {
					return err
				}
				script.Fleet.Front = front
			}
			if virtual {
				return virtualDay(cmd.Context(), script, asJSON)
			}
			o := lab.DayOptions{Capture: file, Progress: os.Stderr}
			if debug {
				if o.Log, err = runtime.NewLogger(config.Log{Level: "debug", PerSecond: 1000}); err != nil {
					return err
				}
			}
			res, err := lab.RunDay(cmd.Context(), script, o)
			if err != nil {
				return err
			}
			if asJSON {
				err = printJSON(res)
			} else {
				printDay(os.Stdout, res)
			}
			if err == nil && !res.Good() {
				err = errCheckFailed
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().StringVar(&front, "front", "", "protocol between routers: "+strings.Join(lab.FrontNames, ", ")+" (ISUP over M3UA)")
	c.Flags().StringVar(&file, "capture", "", "write the capture to this file (pcapng)")
	c.Flags().BoolVar(&virtual, "virtual", false, "use a deterministic virtual clock and network instead of sockets")
	c.Flags().BoolVar(&debug, "debug", false, "log every final answer of the routers")
	return c
}

// virtualDay runs a script on the virtual clock and prints its result.
func virtualDay(ctx context.Context, script *lab.Script, asJSON bool) error {
	res, err := lab.RunVirtual(ctx, script, lab.VirtualOptions{Drift: 0.01})
	if err != nil {
		return err
	}
	if asJSON {
		err = printJSON(res)
	} else {
		printDay(os.Stdout, &res.DayResult)
		fmt.Printf("virtual: %v in %.2f s, %d steps, trace %016x\n", res.VirtualTime, res.WallSeconds, res.Steps, res.Trace)
	}
	if err == nil && !res.Good() {
		err = errCheckFailed
	}
	return err
}

// checkFront checks the value of --front, the protocol between routers.
func checkFront(front string) error {
	if !slices.Contains(lab.FrontNames, front) {
		return fmt.Errorf("--front: %q is not one of %s", front, strings.Join(lab.FrontNames, ", "))
	}
	return nil
}

func printJSON(v any) error { return json.NewEncoder(os.Stdout).Encode(v) }

func printDay(w io.Writer, r *lab.DayResult) {
	fmt.Fprintf(w, "%s: %d calls (tries) on loopback in %.1f s\n\n", r.Day, r.Calls, r.WallSeconds)
	printOutcomes(w, r.ByClass)
	fmt.Fprintf(w, "\nset-up delay ms: p50 %.1f, p90 %.1f, p99 %.1f; %d attempts, %d datagrams, %d standing calls cut\n", r.SetUpMS["p50"],
		r.SetUpMS["p90"], r.SetUpMS["p99"], r.Attempts, r.Datagrams, r.Cut)
	fmt.Fprintf(w, "causes of final answers:")
	for _, c := range slices.Sorted(maps.Keys(r.Causes)) {
		fmt.Fprintf(w, " %d: %d", c, r.Causes[c])
	}
	fmt.Fprintf(w, "\nremaining at the end: %d calls, %d legs, %d dialogs, %d circuits; switches collapsed: %d\n", r.LeftOver.Calls,
		r.LeftOver.Legs, r.LeftOver.Dialogs, r.LeftOver.Circuits, r.SwitchCollapses)
	k := &r.Records
	fmt.Fprintf(w, "records: %d stored (%d closed by recovery, %d unrated); of %d tries %d without a record, %d with two, %d with a wrong end\n", k.Records,
		k.Recovered, k.Unrated, k.TriesChecked, k.Missing, k.Duplicated, k.Wrong)
	for _, f := range k.Problems[:min(20, len(k.Problems))] {
		fmt.Fprintln(w, " ", f)
	}
	fmt.Fprintf(w, "rule violations: %d; overdue answers %d, faults %d, malformed frames %d\n", r.ViolationCount, r.Overdue, r.ActionFaults, r.Malformed)
	for _, b := range r.Violations[:min(20, len(r.Violations))] {
		fmt.Fprintln(w, " ", b)
	}
}

var outcomes = []rules.Outcome{rules.Answered, rules.Refused, rules.Failed, rules.Abandoned, rules.Unanswered, rules.Unfinished}

func printOutcomes(w io.Writer, byClass map[string]map[rules.Outcome]int) {
	fmt.Fprintf(w, "%-20s", "class")
	for _, o := range outcomes {
		fmt.Fprintf(w, "%12s", o)
	}
	fmt.Fprintln(w)
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		fmt.Fprintf(w, "%-20s", class)
		for _, o := range outcomes {
			fmt.Fprintf(w, "%12d", byClass[class][o])
		}
		fmt.Fprintln(w)
	}
}

func rulesCommand() *cobra.Command {
	var asJSON bool
	var call string
	c := &cobra.Command{Use: "rules CAPTURE", Args: cobra.ExactArgs(1), Short: "Check the five rules of call handling from a capture alone",
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			if call != "" {
				l := &rules.Ladder{Call: call, W: os.Stdout}
				return capture.Read(f, func(p capture.Packet) error { l.Packet(p); return nil })
			}
			rep, err := lab.CheckCapture(f)
			if err != nil {
				return err
			}
			if asJSON {
				err = printJSON(lab.Summarize(rep))
			} else {
				printOutcomes(os.Stdout, rep.Outcomes)
				fmt.Printf("%d datagrams, %d malformed; rule violations: %d\n", rep.Datagrams, rep.Malformed, len(rep.Violations))
				for _, b := range rep.Violations {
					fmt.Println(" ", b)
				}
			}
			if err == nil && len(rep.Violations) > 0 {
				err = errCheckFailed
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().StringVar(&call, "call", "", "print the frames of the call with this calling number instead")
	return c
}
