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
	c := &cobra.Command{Use: "lab", Short: "Load tests and experiments", RunE: func(cmd *cobra.Command, _ []string) error {
		return fmt.Errorf("a subcommand is required: see %s --help", cmd.CommandPath())
	}}
	c.AddCommand(labCalls(), labFronts(), labFailover(), labStart(), labCrash(), labRecords(), labSeeds())
	return c
}

func labCalls() *cobra.Command {
	var asJSON bool
	o := lab.CallsOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "calls", Args: cobra.NoArgs,
		Short: "Measure the calls per second of one router against a bare gnet echo, and the delay it adds",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.StepDuration <= 0 || o.StepDuration > time.Minute {
				return fmt.Errorf("--step: %v must be above 0 and at most 1 minute", o.StepDuration)
			}
			r, err := lab.MeasureCalls(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(r)
			}
			fmt.Printf("one router, one core (machine of %d): %.0f calls/s without a missed deadline, %.0f datagrams/s (%.2f of the echo's %.0f), "+
				"%.1f datagrams per call\n", r.Cores, r.CallsPerSecond, r.DatagramsPerSecond, r.EchoRatio, r.EchoPerSecond, r.DatagramsPerCall)
			fmt.Printf("at %.0f calls/s it adds p50 %.0f us, p99 %.0f us, p99.9 %.0f us (direct p99 %.0f us)\n", r.DelayRate, r.AddedP50,
				r.AddedP99, r.AddedP999, r.DirectP99)
			fmt.Printf("at 980 calls/s: %d deadlines missed, p99 %.0f us; %.0f bytes per standing call\n", r.MissedAt980, r.P99At980,
				r.BytesPerStandingCall)
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().DurationVar(&o.StepDuration, "step", 3*time.Second, "duration of each rate")
	c.Flags().Float64Var(&o.MaxRate, "most", 20000, "highest rate tried, in calls per second")
	return c
}

func labFronts() *cobra.Command {
	var asJSON bool
	o := lab.FrontsOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "fronts", Args: cobra.NoArgs,
		Short: "Measure the calls per second of one router with IAX2 and ISUP over M3UA on either side, in one run",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.StepDuration <= 0 || o.StepDuration > time.Minute {
				return fmt.Errorf("--step: %v must be above 0 and at most 1 minute", o.StepDuration)
			}
			r, err := lab.MeasureFronts(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(r)
			}
			for _, name := range []string{"iax2 to iax2", "iax2 to isup", "isup to iax2", "isup to isup"} {
				fmt.Printf("%s: %.0f calls/s without a missed deadline; set-up p99 at half of that %.0f us\n", name, r.CallsPerSecond[name], r.P99[name])
			}
			fmt.Printf("ratio of the IAX2 rate to the ISUP rate: %.2f; %.0f bytes per idle circuit\n", r.RatioIAX2ToISUP, r.BytesPerCircuit)
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().DurationVar(&o.StepDuration, "step", 2*time.Second, "duration of each rate")
	c.Flags().Float64Var(&o.MaxRate, "most", 12000, "highest rate tried, in calls per second")
	return c
}

func labFailover() *cobra.Command {
	var asJSON bool
	var rate float64
	var length time.Duration
	c := &cobra.Command{Use: "failover", Args: cobra.NoArgs,
		Short: "Measure how the loss of one of two associations affects calls in set-up",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if length <= 0 || length > time.Minute || rate <= 0 || rate > 10000 {
				return fmt.Errorf("--length must be above 0 and at most 1 minute, --rate above 0 and at most 10000")
			}
			r, err := lab.MeasureFailover(cmd.Context(), rate, length)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(r)
			}
			fmt.Printf("%.0f calls/s: %d calls, %d stood, %d refused, %d failed; set-up p99 %.0f us before the cut; in the half second after it "+
				"p50 %.0f us, p99 %.0f us, longest %.0f us\n", r.Rate, r.Calls, r.Answered, r.Refused, r.Failed, r.P99Before, r.P50After, r.P99After, r.MaxAfter)
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().Float64Var(&rate, "rate", 980, "calls per second")
	c.Flags().DurationVar(&length, "length", 4*time.Second, "duration of the calls; the association is lost halfway")
	return c
}

func labStart() *cobra.Command {
	var asJSON bool
	o := lab.StartOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "start", Args: cobra.NoArgs,
		Short: "Measure the share of calls answered in each of the first 20 s after a start",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkFront(o.Front); err != nil {
				return err
			}
			r, err := lab.MeasureStart(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				err = printJSON(r)
			} else {
				for _, c := range r.Cases {
					fmt.Printf("%s: %.3f of %d tries answered in the first 20 s; rule violations %d, switches collapsed %d\n ", c.Case, c.Share,
						c.Calls, c.ViolationCount, c.SwitchCollapses)
					for _, s := range c.BySecond {
						fmt.Printf(" %.2f", s)
					}
					fmt.Println()
				}
			}
			if err == nil && r.ViolationCount > 0 {
				err = errCheckFailed
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().StringVar(&o.Front, "front", "iax2", "protocol between routers: "+strings.Join(lab.FrontNames, ", "))
	return c
}

func labCrash() *cobra.Command {
	var asJSON bool
	o := lab.CrashOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "crash", Args: cobra.NoArgs,
		Short: "Crash the record store at every write and sync, kill a router process under load, and check every record",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Calls < 1 || o.Calls > 100000 || o.NestedInterval < 0 || o.Kills < 0 || o.Kills > 10000 {
				return fmt.Errorf("--calls must be 1 to 100000, --kills 0 to 10000, --nested 0 or more")
			}
			r, err := lab.RunCrashes(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				err = printJSON(r)
			} else {
				fmt.Printf("%d crash points in a run of %d calls (%d of them during recovery): %d finished calls checked, %d records missing, %d duplicated, "+
					"%d without a call, %d by recovery; exports wrong %d\n", r.PointsTried, r.Calls, r.PointsNested, r.CallsFinished, r.RecordsMissing,
					r.RecordsDuplicated, r.RecordsUnknown, r.Recovered, r.ExportsWrong)
				if k := r.Kills; k != nil {
					fmt.Printf("%d kills under load: %d calls, %d answered, %d records (%d by recovery): %d missing, %d duplicated, %d wrong; "+
						"rule violations %d; longest start %.0f ms\n", k.Kills, k.Calls, k.Answered, k.Records, k.Recovered, k.Missing, k.Duplicated, k.Wrong,
						k.ViolationCount, k.LongestStartMS)
					r.Problems = append(r.Problems, k.Problems...)
				}
				for _, b := range r.Problems {
					fmt.Println(" ", b)
				}
			}
			if err == nil && !r.Good() {
				err = errCheckFailed
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().IntVar(&o.Calls, "calls", 1500, "calls of the run in which every write and sync is a crash point")
	c.Flags().IntVar(&o.NestedInterval, "nested", 25, "at every Nth crash point, also crash during the recovery; 0 never does")
	c.Flags().IntVar(&o.Kills, "kills", 40, "number of times that a router process is killed under load")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of calls and crashes")
	return c
}

func labRecords() *cobra.Command {
	var asJSON bool
	o := lab.RecordsOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "records", Args: cobra.NoArgs,
		Short: "Measure call detail records: durable records per second, added delay, size, recovery, export",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.PassDuration <= 0 || o.PassDuration > time.Minute || o.Records < 1 || o.Records > 10_000_000 || o.Rate <= 0 || o.Rate > 20000 {
				return fmt.Errorf("--step must be above 0 and at most 1 minute, --records 1 to 10,000,000, --rate above 0 and at most 20000")
			}
			r, err := lab.MeasureRecords(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(r)
			}
			fmt.Printf("%.0f records/s durable on one core, %.0f per commit; %.0f bytes per record on disk (%.0f encoded); exported per second: csv %.0f, "+
				"parquet %.0f\n", r.DurablePerSecond, r.RecordsPerCommit, r.BytesPerRecord, r.EncodedBytes, r.ExportPerSecond["csv"], r.ExportPerSecond["parquet"])
			for _, mode := range []string{"none", "at_once", "durable"} {
				fmt.Printf("at %.0f calls/s, records %s: set-up p50 %.0f us, p99 %.0f us, %d missed\n", r.Rate, mode, r.SetUpP50[mode], r.SetUpP99[mode],
					r.Missed[mode])
			}
			fmt.Printf("recovery with 1,000, 10,000 and 100,000 open calls: %.0f, %.0f, %.0f ms\n", r.RecoveryMS["1000"], r.RecoveryMS["10000"],
				r.RecoveryMS["100000"])
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().DurationVar(&o.PassDuration, "step", 4*time.Second, "duration of each run of calls")
	c.Flags().Float64Var(&o.Rate, "rate", 980, "calls per second of the runs")
	c.Flags().IntVar(&o.Records, "records", 300_000, "number of records made durable")
	c.Flags().StringVar(&o.Dir, "dir", "", "directory on the disk to measure; default: the system's temporary directory")
	return c
}

func labSeeds() *cobra.Command {
	var asJSON bool
	o := lab.SeedsOptions{Progress: os.Stderr}
	c := &cobra.Command{Use: "seeds", Args: cobra.NoArgs,
		Short: "Run days generated from seeds on a virtual clock, checking the rules after every step; failures are reproducible",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Count < 1 || o.Count > 1_000_000 || o.Exchanges < 0 || o.Exchanges > 100 || o.Drift < 0 || o.Drift > 0.1 || o.SeedsPerMutant < 0 || o.Jobs < 0 {
				return fmt.Errorf("--count must be 1 to 1,000,000, --exchanges 0 to 100, --drift 0 to 0.1, --mutants and --jobs 0 or more")
			}
			r, err := lab.ExploreSeeds(cmd.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				err = printJSON(r)
			} else {
				printSeeds(r)
			}
			if err == nil && (r.Failed > 0 || r.MutantsFound < r.Mutants) {
				err = errCheckFailed
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	c.Flags().IntVar(&o.Count, "count", 1000, "seeds")
	c.Flags().Uint64Var(&o.FirstSeed, "from", 1, "the first seed")
	c.Flags().IntVar(&o.Exchanges, "exchanges", 0, "number of exchanges of each day; 0 chooses it from the seed")
	c.Flags().Float64Var(&o.Drift, "drift", 0.01, "maximum relative drift of the routers' clocks")
	c.Flags().IntVar(&o.SeedsPerMutant, "mutants", 0, "maximum number of seeds for each planted bug; 0 plants none")
	c.Flags().StringVar(&o.Mutation, "mutate", "", "plant this bug in every day")
	c.Flags().BoolVar(&o.Shrink, "shrink", false, "shrink failing days to the fewest faults and calls")
	c.Flags().IntVar(&o.Jobs, "jobs", 0, "days run in parallel; 0 is one per core")
	return c
}

func printSeeds(r *lab.SeedsResult) {
	fmt.Printf("%d seeds, %d failed; %d calls, %d steps in %.1f s: per second and core %.1f virtual seconds, %.0f steps\n", r.Seeds, r.Failed, r.Calls,
		r.Steps, r.WallSeconds, r.VirtualSecondsPerCore, r.StepsPerSecond)
	fmt.Printf("outcomes %v; pairs of fault kinds covered: %d of %d; message types: %d\n", r.Outcomes, r.PairsCovered, r.PairsTotal, len(r.Messages))
	for _, f := range r.Failures {
		fmt.Printf("\nseed %d\n", f.Seed)
		for _, w := range f.Problems {
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
	for _, m := range r.MutantResults {
		fmt.Printf("planted bug %s (violates %s): seeds to find it: %d; %s\n", m.Name, m.Violates, m.Seeds, m.DetectedBy)
	}
}
