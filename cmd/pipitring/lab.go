package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pipitring/internal/lab"
)

func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Load and experiments", RunE: func(cmd *cobra.Command, _ []string) error {
		return fmt.Errorf("an experiment is needed: see %s --help", cmd.CommandPath())
	}}
	c.AddCommand(labCalls(), labFronts(), labFailover(), labStart(), labCrash(), labRecords(), labSeeds())
	return c
}

func labCalls() *cobra.Command {
	var asJSON bool
	o := lab.CallsOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "calls", Args: cobra.NoArgs,
		Short: "How many whole calls a second one router carries, beside a bare gnet echo, and what delay it adds",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Step <= 0 || o.Step > time.Minute {
				return fmt.Errorf("--step: %v is not above 0, up to a minute", o.Step)
			}
			r, err := lab.Calls(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(r)
			}
			fmt.Printf("one router, one core (machine of %d): %.0f calls/s without a missed deadline, %.0f datagrams/s (%.2f of the echo's %.0f), "+
				"%.1f datagrams a call\n", r.Cores, r.CallsPerSecond, r.DatagramsPerSecond, r.Ratio, r.EchoPerSecond, r.DatagramsPerCall)
			fmt.Printf("at %.0f calls/s it adds p50 %.0f us, p99 %.0f us, p99.9 %.0f us (direct p99 %.0f us)\n", r.MeasuredAt, r.AddedP50,
				r.AddedP99, r.AddedP999, r.DirectP99)
			fmt.Printf("at 980 calls/s: %d deadlines missed, p99 %.0f us; %.0f bytes a standing call\n", r.At980Missed, r.At980P99,
				r.BytesPerStanding)
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().DurationVar(&o.Step, "step", 3*time.Second, "length of each rate")
	c.Flags().Float64Var(&o.Most, "most", 20000, "calls a second at which it stops looking")
	return c
}

func labFronts() *cobra.Command {
	var asJSON bool
	o := lab.FrontsOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "fronts", Args: cobra.NoArgs,
		Short: "Whole calls a second of one router, for IAX2 and ISUP over M3UA on either side, in one run",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Step <= 0 || o.Step > time.Minute {
				return fmt.Errorf("--step: %v is not above 0, up to a minute", o.Step)
			}
			r, err := lab.Fronts(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(r)
			}
			for _, name := range []string{"iax2 to iax2", "iax2 to isup", "isup to iax2", "isup to isup"} {
				fmt.Printf("%s: %.0f calls/s without a missed deadline; set-up p99 at half of that %.0f us\n", name, r.CallsPerSecond[name], r.P99[name])
			}
			fmt.Printf("IAX2 over ISUP: %.2f; %.0f bytes an idle circuit\n", r.ISUPOverIAX2, r.BytesPerCircuit)
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().DurationVar(&o.Step, "step", 2*time.Second, "length of each rate")
	c.Flags().Float64Var(&o.Most, "most", 12000, "calls a second at which it stops looking")
	return c
}

func labFailover() *cobra.Command {
	var asJSON bool
	var rate float64
	var length time.Duration
	c := &cobra.Command{Use: "failover", Args: cobra.NoArgs,
		Short: "What the loss of one of two associations costs calls in set-up",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if length <= 0 || length > time.Minute || rate <= 0 || rate > 10000 {
				return fmt.Errorf("--length has to be above 0, up to a minute, --rate above 0, up to 10000")
			}
			r, err := lab.Failover(cmd.Context(), rate, length)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(r)
			}
			fmt.Printf("%.0f calls/s: %d calls, %d stood, %d refused, %d failed; set-up p99 %.0f us before the cut; in the half second after it "+
				"p50 %.0f us, p99 %.0f us, longest %.0f us\n", r.Rate, r.Calls, r.Stood, r.Refused, r.Failed, r.P99Before, r.P50After, r.P99After, r.MaxAfter)
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().Float64Var(&rate, "rate", 980, "calls a second")
	c.Flags().DurationVar(&length, "length", 4*time.Second, "of the calls; the cut is in the middle")
	return c
}

func labStart() *cobra.Command {
	var asJSON bool
	o := lab.StartOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "start", Args: cobra.NoArgs,
		Short: "The share of calls answered in the first 20 s after a start, second by second",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkFront(o.Front); err != nil {
				return err
			}
			r, err := lab.Start(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				err = printJSON(r)
			} else {
				for _, c := range r.Cases {
					fmt.Printf("%s: %.3f of %d tries answered in the first 20 s; rules broken %d, switches pushed over %d\n ", c.Case, c.Share,
						c.Calls, c.RulesBroken, c.SwitchesFell)
					for _, s := range c.BySecond {
						fmt.Printf(" %.2f", s)
					}
					fmt.Println()
				}
			}
			if err == nil && r.RulesBroken > 0 {
				err = errBroken
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().StringVar(&o.Front, "front", "iax2", "between routers: "+strings.Join(lab.FrontNames, ", "))
	return c
}

func labCrash() *cobra.Command {
	var asJSON bool
	o := lab.CrashOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "crash", Args: cobra.NoArgs,
		Short: "Crash the records' disk at every write and sync, kill a real router under load, and look for every record",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Calls < 1 || o.Calls > 100000 || o.Nested < 0 || o.Kills < 0 || o.Kills > 10000 {
				return fmt.Errorf("--calls has to be 1 to 100000, --kills 0 to 10000, --nested not below 0")
			}
			r, err := lab.Crash(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				err = printJSON(r)
			} else {
				fmt.Printf("%d points of a run of %d calls (%d of them in recoveries): %d finished calls looked for, %d records missing, %d doubled, "+
					"%d of no call, %d by recovery; exports wrong %d\n", r.PointsTried, r.Calls, r.PointsNested, r.CallsFinished, r.RecordsMissing,
					r.RecordsDoubled, r.RecordsFalse, r.Recovered, r.ExportsWrong)
				if k := r.Kills; k != nil {
					fmt.Printf("%d kills under load: %d calls, %d answered, %d records (%d by recovery): %d missing, %d doubled, %d wrong; "+
						"rules broken %d; longest start %.0f ms\n", k.Kills, k.Calls, k.Answered, k.Records, k.Recovered, k.Missing, k.Doubled, k.Wrong,
						k.RulesBroken, k.StartMS)
					r.Broken = append(r.Broken, k.Found...)
				}
				for _, b := range r.Broken {
					fmt.Println(" ", b)
				}
			}
			if err == nil && !r.Good() {
				err = errBroken
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().IntVar(&o.Calls, "calls", 1500, "calls of the run whose every write and sync is a crash")
	c.Flags().IntVar(&o.Nested, "nested", 25, "at every so-manieth point the crashes within its recovery are played too; 0 is never")
	c.Flags().IntVar(&o.Kills, "kills", 40, "times that a real router's process is killed under load")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of calls and crashes")
	return c
}

func labRecords() *cobra.Command {
	var asJSON bool
	o := lab.RecordsOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "records", Args: cobra.NoArgs,
		Short: "What call detail records cost: durable a second, delay added, bytes, recovery, export",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Step <= 0 || o.Step > time.Minute || o.Records < 1 || o.Records > 10_000_000 || o.Rate <= 0 || o.Rate > 20000 {
				return fmt.Errorf("--step has to be above 0, up to a minute, --records 1 to 10,000,000, --rate above 0, up to 20000")
			}
			r, err := lab.Records(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(r)
			}
			fmt.Printf("%.0f records/s durable on one core, %.0f a commit; %.0f bytes a record on disk (%.0f encoded); exported a second: csv %.0f, "+
				"parquet %.0f\n", r.DurablePerSecond, r.PerCommit, r.BytesPerRecord, r.EncodedBytes, r.ExportPerSecond["csv"], r.ExportPerSecond["parquet"])
			for _, mode := range []string{"none", "at_once", "durable"} {
				fmt.Printf("at %.0f calls/s, records %s: set-up p50 %.0f us, p99 %.0f us, %d missed\n", r.Rate, mode, r.SetUpP50[mode], r.SetUpP99[mode],
					r.Missed[mode])
			}
			fmt.Printf("recovery with 1,000, 10,000 and 100,000 open calls: %.0f, %.0f, %.0f ms\n", r.RecoveryMS["1000"], r.RecoveryMS["10000"],
				r.RecoveryMS["100000"])
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().DurationVar(&o.Step, "step", 4*time.Second, "length of each pass of calls")
	c.Flags().Float64Var(&o.Rate, "rate", 980, "calls a second of the passes")
	c.Flags().IntVar(&o.Records, "records", 300_000, "records that are made durable")
	c.Flags().StringVar(&o.Dir, "dir", "", "directory on the disk to measure; default: the system's for temporary files")
	return c
}

func labSeeds() *cobra.Command {
	var asJSON bool
	o := lab.SeedsOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "seeds", Args: cobra.NoArgs,
		Short: "Days drawn from seeds on a virtual clock, the rules checked after every step; a failing seed fails again exactly",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Count < 1 || o.Count > 1_000_000 || o.Exchanges < 0 || o.Exchanges > 100 || o.Drift < 0 || o.Drift > 0.1 || o.Mutants < 0 || o.Jobs < 0 {
				return fmt.Errorf("--count has to be 1 to 1,000,000, --exchanges 0 to 100, --drift 0 to 0.1, --mutants and --jobs not below 0")
			}
			r, err := lab.Seeds(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				err = printJSON(r)
			} else {
				printSeeds(r)
			}
			if err == nil && (r.Failed > 0 || r.MutantsFound < r.Mutants) {
				err = errBroken
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().IntVar(&o.Count, "count", 1000, "seeds")
	c.Flags().Uint64Var(&o.From, "from", 1, "the first seed")
	c.Flags().IntVar(&o.Exchanges, "exchanges", 0, "exchanges of each day; 0 draws them")
	c.Flags().Float64Var(&o.Drift, "drift", 0.01, "routers' clocks differ by up to this part")
	c.Flags().IntVar(&o.Mutants, "mutants", 0, "seeds that may be spent on each planted bug; 0 plants none")
	c.Flags().StringVar(&o.Mutate, "mutate", "", "plant this bug in every day")
	c.Flags().BoolVar(&o.Shrink, "shrink", false, "cut failing days down to the fewest troubles and calls")
	c.Flags().IntVar(&o.Jobs, "jobs", 0, "days at once; 0 is one a core")
	return c
}

func printSeeds(r *lab.SeedsResult) {
	fmt.Printf("%d seeds, %d failed; %d calls, %d steps in %.1f s: %.1f virtual seconds a second and core, %.0f steps\n", r.Seeds, r.Failed, r.Calls,
		r.Steps, r.WallSeconds, r.PerCore, r.StepsPerS)
	fmt.Printf("outcomes %v; pairs of kinds met: %d of %d; messages of %d names\n", r.Outcomes, r.PairsMet, r.PairsInAll, len(r.Messages))
	for _, f := range r.Failures {
		fmt.Printf("\nseed %d\n", f.Seed)
		for _, w := range f.What {
			fmt.Println("  ", w)
		}
		for _, e := range f.Events {
			fmt.Print("    ", e)
		}
		fmt.Println("  replay:", f.Replay)
		if f.Script != "" {
			fmt.Println(f.Script)
		}
	}
	for _, m := range r.Found {
		fmt.Printf("planted: %s (breaks %s): seeds to find it: %d; %s\n", m.Name, m.Breaks, m.Seeds, m.By)
	}
}
