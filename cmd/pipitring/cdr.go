package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/spf13/cobra"

	"pipitring/internal/cdr"
	"pipitring/internal/config"
	"pipitring/internal/export"
	"pipitring/internal/plots"
	"pipitring/internal/records"
	"pipitring/internal/runtime"
	"pipitring/internal/store"
)

// cdrFlags holds the flags shared by the cdr subcommands: those that locate the store, those that select records, and
// what parse makes of them.
type cdrFlags struct {
	config, dir, from, to, id string
	json                      bool
	filter                    cdr.Filter
	settings                  *config.Settings // nil without --config
}

func cdrCommand() *cobra.Command {
	c := &cobra.Command{Use: "cdr", Short: "Call detail records", RunE: func(cmd *cobra.Command, _ []string) error {
		return fmt.Errorf("a subcommand is required: see %s --help", cmd.CommandPath())
	}}
	c.AddCommand(cdrList(), cdrExport(), cdrVerify(), cdrRate(), cdrReport())
	return c
}

func (f *cdrFlags) addStoreFlags(c *cobra.Command) {
	c.Flags().StringVarP(&f.config, "config", "c", "", "settings file of the router that owns the records")
	c.Flags().StringVar(&f.dir, "store", "", "directory of the record store, instead of the one in the settings")
	c.Flags().BoolVar(&f.json, "json", false, "print JSON")
}

func (f *cdrFlags) addFilterFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.from, "from", "", "calls offered at or after this time (2026-12-01 or 2026-12-01T14:00:00Z)")
	c.Flags().StringVar(&f.to, "to", "", "calls offered before this time")
	c.Flags().StringVar(&f.id, "id", "", "the call with this ID (router-incarnation-call)")
	c.Flags().StringVar(&f.filter.Class, "class", "", "calls of this class")
	c.Flags().StringVar(&f.filter.Tenant, "tenant", "", "calls of this tenant")
	c.Flags().StringVar(&f.filter.End, "end", "", "calls that ended this way: stood, cut, refused, failed, left")
	c.Flags().StringVar(&f.filter.Called, "called", "", "calls whose called number has this prefix")
	c.Flags().StringVar(&f.filter.Calling, "calling", "", "calls whose calling number has this prefix")
	c.Flags().BoolVar(&f.filter.Unrated, "unrated", false, "calls without a matching tariff")
	c.Flags().BoolVar(&f.filter.NewestVersions, "newest", false, "only the newest version of a call that was rated again")
}

func parseTime(flag, s string) (t time.Time, err error) {
	if s == "" {
		return t, nil
	}
	if t, err = time.Parse(time.RFC3339, s); err != nil {
		if t, err = time.Parse(time.DateOnly, s); err != nil {
			return t, fmt.Errorf("--%s: %q is not a time such as 2026-12-01 or 2026-12-01T14:00:00Z", flag, s)
		}
	}
	return t, nil
}

// parse validates the flags and loads the settings. It sets filter, settings and, without --store, dir.
func (f *cdrFlags) parse() (err error) {
	if f.filter.From, err = parseTime("from", f.from); err != nil {
		return err
	}
	if f.filter.To, err = parseTime("to", f.to); err != nil {
		return err
	}
	if f.id != "" {
		id, err := cdr.ParseID(f.id)
		if err != nil {
			return fmt.Errorf("--id: %w", err)
		}
		f.filter.ID = &id
	}
	if f.filter.End != "" {
		if err := new(cdr.End).UnmarshalText([]byte(f.filter.End)); err != nil {
			return fmt.Errorf("--%w", err)
		}
	}
	if f.config != "" {
		if f.settings, err = config.Load(f.config); err != nil {
			return err
		}
		if f.dir == "" {
			f.dir = f.settings.Records.Dir
		}
	}
	if f.dir == "" {
		return errors.New("location of the records is required: -c SETTINGS with a [records] dir, or --store DIR")
	}
	return nil
}

// open opens the store. It fails if the router that owns the store is running, as the router locks it.
func (f *cdrFlags) open(write bool) (*store.Store, error) {
	s, err := store.Open(store.Options{Dir: f.dir, Schema: records.Schema(), ReadOnly: !write})
	if errors.Is(err, store.ErrInUse) {
		return nil, fmt.Errorf("%w: a running router locks its store; use cdr list --http, or stop the router", err)
	}
	return s, err
}

// withStore opens the store, calls do and closes the store.
func (f *cdrFlags) withStore(write bool, do func(*store.Store) error) error {
	if err := f.parse(); err != nil {
		return err
	}
	s, err := f.open(write)
	if err != nil {
		return err
	}
	return errors.Join(do(s), s.Close())
}

// reportDamaged reports a record that cannot be read.
func reportDamaged(n uint64, err error) { fmt.Fprintf(os.Stderr, "record number %d: %v\n", n, err) }

func cdrList() *cobra.Command {
	f := &cdrFlags{}
	var address string
	c := &cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "Print records as a table or as JSON lines",
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(os.Stdout, f.json)
			printRecord := func(r *cdr.Record) error { return p.print(r) }
			var err error
			if address != "" {
				err = listFromRouter(cmd.Context(), address, f, printRecord)
			} else {
				err = f.withStore(false, func(s *store.Store) error {
					return f.filter.Each(s, func(n uint64, err error) { p.damaged++; reportDamaged(n, err) },
						func(_ uint64, r *cdr.Record) error { return printRecord(r) })
				})
			}
			return errors.Join(err, p.finish())
		}}
	f.addStoreFlags(c)
	f.addFilterFlags(c)
	c.Flags().StringVar(&address, "http", "", "request the records from a running router at this address (its http.listen)")
	return c
}

// listFromRouter requests the records from a running router and calls do for those that the filter selects. No store
// is opened; dir is set only because parse requires it.
func listFromRouter(ctx context.Context, address string, f *cdrFlags, do func(*cdr.Record) error) error {
	f.dir = address
	if err := f.parse(); err != nil {
		return err
	}
	u := url.URL{Scheme: "http", Host: address, Path: "/records"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: check that the router stores records", u.String(), resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r cdr.Record
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return fmt.Errorf("%s: %w", u.String(), err)
		}
		if f.filter.Matches(&r) {
			if err := do(&r); err != nil {
				return err
			}
		}
	}
	return lines.Err()
}

// printer prints records as a table or as JSON lines.
type printer struct {
	w       io.Writer
	table   *tabwriter.Writer // nil for JSON
	printed int
	damaged int
}

func newPrinter(w io.Writer, asJSON bool) *printer {
	p := &printer{w: w}
	if !asJSON {
		p.table = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(p.table, "id\toffered\tend\tcause\tend source\tclass\ttenant\tcalling\tcalled\tset-up\tlength\troute\tcharge\ttariff")
	}
	return p
}

func (p *printer) print(r *cdr.Record) error {
	p.printed++
	if p.table == nil {
		return json.NewEncoder(p.w).Encode(r)
	}
	var route []string
	for _, a := range r.Attempts {
		route = append(route, fmt.Sprintf("%d:%s", a.Exchange, strings.ReplaceAll(a.Outcome, " ", "-")))
	}
	charge := strings.TrimSpace(r.Charge.Amount + " " + r.Charge.Currency)
	if r.Charge.Note != "" {
		charge += " (" + r.Charge.Note + ")"
	}
	_, err := fmt.Fprintf(p.table, "%v/%d\t%s\t%v\t%d\t%v\t%s\t%s\t%s\t%s\t%v\t%v\t%s\t%s\t%s\n", r.ID, r.Version,
		r.Offered.Format("2006-01-02T15:04:05.000Z"), r.End, r.Cause, r.EndSource, r.Class, r.Tenant, r.Calling, r.Called,
		r.SetUp.Round(time.Millisecond), r.Duration.Round(time.Millisecond), strings.Join(route, " "), charge, r.Charge.Tariff)
	return err
}

func (p *printer) finish() error {
	if p.table != nil {
		return p.table.Flush()
	}
	return json.NewEncoder(p.w).Encode(map[string]int{"records": p.printed, "damaged": p.damaged})
}

func cdrExport() *cobra.Command {
	f := &cdrFlags{}
	var to, format, name string
	c := &cobra.Command{Use: "export", Args: cobra.NoArgs, Short: "Send all pending records to the exports of the settings, or to one destination",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.withStore(true, func(s *store.Store) error {
				targets, err := f.exportTargets(s, name, to, format)
				if err != nil {
					return err
				}
				total := map[string]uint64{}
				for i := range targets {
					n, err := exportAll(cmd.Context(), s, &targets[i])
					total[targets[i].Target] = n
					if err != nil {
						return fmt.Errorf("export %s: %w", targets[i].Target, err)
					}
					fmt.Fprintf(os.Stderr, "%s: %d batches sent\n", targets[i].Target, n)
				}
				if f.json {
					return printJSON(map[string]any{"batches_sent": total})
				}
				return nil
			})
		}}
	f.addStoreFlags(c)
	c.Flags().StringVar(&to, "to", "", "a directory, or the URL of a receiver (tus 1.0), instead of the exports of the settings")
	c.Flags().StringVar(&format, "format", string(cdr.CSV), "with --to: csv or parquet")
	c.Flags().StringVar(&name, "name", "", "only this export of the settings; with --to: the name under which its progress is stored")
	return c
}

// exportTargets returns the exports that the flags select: one to the destination to, or those of the settings, or of
// these the one called name.
func (f *cdrFlags) exportTargets(s *store.Store, name, to, format string) ([]records.ExportOptions, error) {
	if to != "" {
		fileFormat, err := cdr.ParseFormat(format)
		if err != nil {
			return nil, fmt.Errorf("--format: %w", err)
		}
		router, err := storeRouter(s)
		if err != nil {
			return nil, err
		}
		if name == "" {
			name = "command line " + to
		}
		o := records.ExportOptions{Dir: to, Timeout: 30 * time.Second, ExportSettings: cdr.ExportSettings{Target: name, Router: router,
			Format: fileFormat, MaxRecords: 10000, MinRecords: 1, KeepBatches: 1000}}
		if (&config.Export{To: to}).IsURL() {
			o.Dir, o.URL = "", to
		}
		return []records.ExportOptions{o}, nil
	}
	if f.settings == nil {
		return nil, errors.New("export destination is required: -c SETTINGS with [[records.export]], or --to")
	}
	all, err := runtime.ExportOptions(f.settings)
	if err != nil || name == "" {
		return all, err
	}
	for _, o := range all {
		if o.Target == name {
			return []records.ExportOptions{o}, nil
		}
	}
	return nil, fmt.Errorf("--name: the settings have no export named %q", name)
}

// storeRouter returns the number of the router that owns the store. It is parsed from the owner's name:
// records.OwnerName(0) ends in the digit 0, which the verb replaces.
func storeRouter(s *store.Store) (uint32, error) {
	owner, err := s.Owner()
	if err != nil {
		return 0, err
	}
	var n uint32
	if _, err := fmt.Sscanf(owner, records.OwnerName(0)[:len(records.OwnerName(0))-1]+"%d", &n); err != nil {
		return 0, fmt.Errorf("the store belongs to %q, which is not a router", owner)
	}
	return n, nil
}

// maxExportFailures is the number of errors that one run of an export tolerates; the next one ends it.
const maxExportFailures = 5

// exportAll sends all pending records to one target and returns the number of batches sent.
func exportAll(ctx context.Context, s *store.Store, o *records.ExportOptions) (uint64, error) {
	exporter, err := cdr.OpenExport(s, o.ExportSettings)
	if err != nil {
		return 0, err
	}
	target, err := records.OpenTarget(vfs.Default, o)
	if err != nil {
		return 0, err
	}
	defer func() { _ = target.Close() }()
	ledger, err := cdr.OpenLedger(s, o.Router, nil)
	if err != nil {
		return 0, err
	}
	countBefore := exporter.BatchCount()
	for failures := 0; ; {
		sent, _, err := export.SendNext(ctx, exporter, target, ledger.LastNumber(), true, time.Now, records.NewCommitFunc(s))
		switch {
		case err != nil && (failures == maxExportFailures || ctx.Err() != nil):
			return exporter.BatchCount() - countBefore, err
		case err != nil:
			failures++
			fmt.Fprintln(os.Stderr, err)
		case !sent:
			return exporter.BatchCount() - countBefore, nil
		}
	}
}

func cdrVerify() *cobra.Command {
	f := &cdrFlags{}
	var dirs []string
	c := &cobra.Command{Use: "verify", Args: cobra.NoArgs,
		Short: "Check the store and exported files for missing, duplicate, damaged and unrated records",
		RunE: func(*cobra.Command, []string) error {
			var audit *cdr.Audit
			err := f.withStore(false, func(s *store.Store) (err error) {
				if audit, err = cdr.Verify(s); err != nil {
					return err
				}
				router, err := storeRouter(s)
				if err != nil {
					return err
				}
				if f.settings != nil {
					for _, e := range f.settings.Records.Export {
						if !e.IsURL() {
							dirs = append(dirs, e.To)
						}
					}
				}
				for _, dir := range dirs {
					if err := audit.VerifyFiles(s, export.Files{FS: vfs.Default, Dir: dir}, router); err != nil {
						return err
					}
				}
				return nil
			})
			if err != nil {
				return err
			}
			if f.json {
				err = printJSON(audit)
			} else {
				fmt.Printf("%d records, numbers %d to %d; %d open calls, %d unrated; %d records in %d exported batches\n", audit.Records, audit.First, audit.Last,
					audit.Open, audit.Unrated, audit.Exported, audit.Batches)
				for _, n := range audit.Gaps {
					fmt.Printf("  gap: no record under number %d\n", n)
				}
				for _, list := range [][]string{audit.Damaged, audit.Doubled, audit.Mismatch} {
					for _, text := range list {
						fmt.Println(" ", text)
					}
				}
			}
			if err == nil && !audit.Good() {
				err = errCheckFailed
			}
			return err
		}}
	f.addStoreFlags(c)
	c.Flags().StringSliceVar(&dirs, "files", nil, "directories of exported files, in addition to those of the settings")
	return c
}

func cdrRate() *cobra.Command {
	f := &cdrFlags{}
	var file string
	var write bool
	c := &cobra.Command{Use: "rate", Args: cobra.NoArgs,
		Short: "Apply tariffs to stored records; with --write, store the results as new versions",
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				return errors.New("--tariffs: a tariff file is required")
			}
			t, err := config.LoadTariffs(file)
			if err != nil {
				return err
			}
			f.filter.NewestVersions = true
			return f.withStore(write, func(s *store.Store) error { return f.rate(s, t, write) })
		}}
	f.addStoreFlags(c)
	f.addFilterFlags(c)
	c.Flags().StringVar(&file, "tariffs", "", "tariff file (TOML)")
	c.Flags().BoolVar(&write, "write", false, "store a new version of each record whose charge changes; older versions are kept")
	return c
}

// ratingBatchSize is the largest number of new versions that cdr rate writes in one commit.
const ratingBatchSize = 1000

// rate applies tariffs to the selected records and prints the reports before and after. With write, it stores a new
// version of each record whose charge changes.
func (f *cdrFlags) rate(s *store.Store, t *cdr.Tariffs, write bool) error {
	before, after := &cdr.Report{Zone: t.Zone}, &cdr.Report{Zone: t.Zone}
	var changed []cdr.ID
	n := 0
	err := f.filter.Each(s, reportDamaged, func(_ uint64, r *cdr.Record) error {
		n++
		if err := before.Add(r); err != nil {
			return err
		}
		charge := t.Rate(r)
		if !charge.Equal(r.Charge) {
			changed = append(changed, r.ID)
		}
		r.Charge = charge
		return after.Add(r)
	})
	if err != nil {
		return err
	}
	if write {
		router, err := storeRouter(s)
		if err != nil {
			return err
		}
		ledger, err := cdr.OpenLedger(s, router, nil)
		if err != nil {
			return err
		}
		for i := 0; i < len(changed); i += ratingBatchSize {
			b := s.Batch()
			for _, id := range changed[i:min(len(changed), i+ratingBatchSize)] {
				if _, err := ledger.Rerate(b, id, t); err != nil {
					return err
				}
			}
			if err := s.Commit(b); err != nil {
				return err
			}
		}
	}
	if f.json {
		return printJSON(map[string]any{"records": n, "changed": len(changed), "written": write, "before": before.Lines(), "after": after.Lines()})
	}
	fmt.Printf("%d records, %d with a changed charge\n\nbefore\n", n, len(changed))
	printReport(os.Stdout, before.Lines())
	fmt.Println("\nafter")
	printReport(os.Stdout, after.Lines())
	return nil
}

func printReport(w io.Writer, lines []cdr.Line) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\tclass\ttenant\tcalls\tstood\tcut\trefused\tfailed\tleft\tminutes\tcharge\tunrated\t")
	for _, l := range lines {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%s %s\t%d\t\n", l.Day, l.Class, l.Tenant, l.Calls, l.Ends["stood"], l.Ends["cut"],
			l.Ends["refused"], l.Ends["failed"], l.Ends["left"], l.Minutes, l.Charge, l.Currency, l.Unrated)
	}
	_ = t.Flush() // an error on standard output cannot be reported anywhere
}

func cdrReport() *cobra.Command {
	f := &cdrFlags{}
	var zone, file string
	c := &cobra.Command{Use: "report", Args: cobra.NoArgs, Short: "Calls, minutes and charge by day, class and tenant",
		RunE: func(*cobra.Command, []string) error {
			z, err := time.LoadLocation(zone)
			if err != nil {
				return fmt.Errorf("--zone: %w", err)
			}
			if file != "" {
				if err := plots.CheckFormat(file); err != nil {
					return err
				}
			}
			report := &cdr.Report{Zone: z}
			f.filter.NewestVersions = true
			err = f.withStore(false, func(s *store.Store) error {
				return f.filter.Each(s, reportDamaged, func(_ uint64, r *cdr.Record) error { return report.Add(r) })
			})
			if err != nil {
				return err
			}
			if file != "" {
				if err := plotReport(file, report.Lines()); err != nil {
					return err
				}
			}
			if f.json {
				return printJSON(map[string]any{"lines": report.Lines()})
			}
			printReport(os.Stdout, report.Lines())
			return nil
		}}
	f.addStoreFlags(c)
	f.addFilterFlags(c)
	c.Flags().StringVar(&zone, "zone", "UTC", "time zone of the days")
	c.Flags().StringVar(&file, "plot", "", "plot calls by day and class to this file (.svg, .png)")
	return c
}

// plotReport plots calls by day, with one series of bars for each class.
func plotReport(file string, lines []cdr.Line) error {
	var days []string
	dayIndex, seriesIndex := map[string]int{}, map[string]int{}
	var series []plots.Series
	for _, l := range lines {
		if _, ok := dayIndex[l.Day]; !ok {
			dayIndex[l.Day] = len(days)
			days = append(days, l.Day)
		}
	}
	for _, l := range lines {
		i, ok := seriesIndex[l.Class]
		if !ok {
			i = len(series)
			seriesIndex[l.Class] = i
			series = append(series, plots.Series{Name: l.Class, Y: make([]float64, len(days))})
		}
		series[i].Y[dayIndex[l.Day]] += float64(l.Calls)
	}
	return plots.Bars(file, "Calls by day and class", "calls", days, series)
}
