// Package lab runs load tests and experiments: a fleet of routers with their stand-ins, on loopback or a virtual network, a
// script of faults, the rules checked on the capture, and measurements.
package lab

import (
	_ "embed"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"pipitring/internal/tomlbind"
)

// Script describes a day: a fleet, its load and the faults that occur.
type Script struct {
	Name    string        `toml:"name"`
	Length  time.Duration `toml:"length"` // time during which callers begin new calls
	Seed    uint64        `toml:"seed"`
	Virtual bool          `toml:"virtual"` // allows faults that only the virtual clock has
	Fleet   FleetSpec     `toml:"fleet"`
	Load    LoadSpec      `toml:"load"`
	Classes []ClassSpec   `toml:"class"`
	Faults  []Fault       `toml:"trouble"`
}

// FleetSpec is the [fleet] table. Rates are per second.
type FleetSpec struct {
	Exchanges        int           `toml:"exchanges"`
	Regions          []string      `toml:"regions"`
	Circuits         int           `toml:"circuits"`      // average number of circuits of a trunk group
	CircuitSpread    float64       `toml:"spread"`        // share by which that number varies either way, 0 to 1
	UnlinkedShare    float64       `toml:"unlinked"`      // share of pairs of exchanges without a trunk group
	SetUpRate        float64       `toml:"setup_rate"`    // set-ups per second that a processor can handle
	QueueWait        time.Duration `toml:"queue_wait"`    // a processor rejects set-ups that would wait longer
	Lines            int           `toml:"lines"`         // calls that a switch can hold at a time
	RingTime         time.Duration `toml:"ring"`          // from the set-up to the answer
	ColdCapacity     float64       `toml:"cold_from"`     // share of SetUpRate that a processor handles right after its start
	ColdDuration     time.Duration `toml:"cold_for"`      // time until it handles all of it
	OverloadMultiple float64       `toml:"fall_multiple"` // load, as a multiple of its capacity, at which a cold processor collapses
	OverloadWindow   time.Duration `toml:"fall_window"`   // time for which the load must last
	DrainGrace       time.Duration `toml:"drain_grace"`   // time for set-ups that were under way when a drain began
	ReleaseWait      time.Duration `toml:"release_wait"`  // wait after the release of an attempt before the next attempt
	RegionDelay      time.Duration `toml:"same_delay"`    // one way, between exchanges of one region
	CrossRegionDelay time.Duration `toml:"cross_delay"`   // one way, between regions
	Jitter           time.Duration `toml:"jitter"`        // upper limit of the random part of the delay
	LossRate         float64       `toml:"lose"`          // share of datagrams lost between routers
	DuplicateRate    float64       `toml:"repeat"`        // share of datagrams duplicated between routers
	ListLag          time.Duration `toml:"list_lag"`      // delay of list updates to routers
	AcceptDelay      time.Duration `toml:"accept_delay"`  // accept_delay in the routers' [iax] settings
	Front            string        `toml:"front"`         // protocol between routers: iax2, m3ua or mixed
}

// LoadSpec is the [load] table.
type LoadSpec struct {
	Rate       float64       `toml:"rate"`    // first tries per second, all exchanges together
	LocalShare float64       `toml:"local"`   // share of calls to the caller's own exchange
	MaxRedials int           `toml:"redials"` // redials after the first try of a call
	Backoff    time.Duration `toml:"backoff"` // wait before a redial
}

// ClassSpec is one [[class]] table.
type ClassSpec struct {
	Name        string        `toml:"name"`
	Share       float64       `toml:"share"`      // share of all calls; the shares add up to 1
	HoldTime    time.Duration `toml:"hold"`       // mean duration of an answered call
	SetupTarget time.Duration `toml:"aim"`        // an answer after it is late
	Patience    time.Duration `toml:"patience"`   // time after which the caller abandons a try
	Deadline    time.Duration `toml:"deadline"`   // time after which the caller stops redialling
	Value       float64       `toml:"worth"`      // value of a call answered in time
	LateValue   float64       `toml:"late_worth"` // value of a call answered late
}

// Fault is one [[trouble]] table.
type Fault struct {
	Kind      string        `toml:"kind"`
	At        time.Duration `toml:"at"`        // time from the start of the day to the beginning of the fault
	For       time.Duration `toml:"for"`       // duration
	Exchanges []int         `toml:"exchanges"` // affected exchanges; if empty, Share of all, chosen at random
	Share     float64       `toml:"part"`      // share of the exchanges affected, 0 to 1; 0 is all
	Region    string        `toml:"region"`    // affected region, for kinds that affect one; "" is the last of the fleet's
	Size      float64       `toml:"size"`      // its meaning depends on the kind; 0 is the kind's default
}

// faultKinds describes the kinds of fault by name: the meaning of the size, its default and range, and what is affected.
// Operators know the names from their bench tests, so they do not change.
var faultKinds = map[string]struct {
	defaultSize float64
	minSize     float64
	maxSize     float64
	region      bool // affects a region
	description string
	virtualOnly bool // available only on the virtual clock
}{
	"burst":           {1.6, 1, 8, false, "call rate is multiplied by this factor", false},
	"hot_caller":      {3, 1, 8, false, "call rate of the affected exchanges' callers is multiplied by this factor", false},
	"deploy":          {2, 0.1, 60, false, "processors are replaced one after another, each after a drain of this many seconds", false},
	"crash":           {0, 0, 0, false, "processors stop; cold ones replace them when it ends", false},
	"mass_restart":    {0, 0, 0, false, "processors restart cold, all at once", false},
	"hang":            {0, 0, 0, false, "processors accept set-ups and answer none", false},
	"slow":            {3, 1, 100, false, "processors are slower by this factor", false},
	"late_answers":    {1, 0.01, 60, false, "answers are delayed by this many seconds", false},
	"answer_lost":     {0.3, 0, 1, false, "share of a switch's datagrams that are lost", false},
	"answer_repeated": {0.5, 0, 1, false, "share of a switch's datagrams that are duplicated", false},
	"reject":          {0.3, 0, 1, false, "share of set-ups rejected with cause 41", false},
	"hang_up":         {0.5, 0, 1, false, "share of calls released right after the answer", false},
	"zone_cut":        {0, 0, 0, true, "links between a region and the others are down", false},
	"lost_messages":   {0.1, 0, 1, true, "share of datagrams lost on the links of a region", false},
	"origin_slow":     {0.5, 0, 1, true, "share of their circuits that a region's trunk groups to the others keep", false},
	"reconnect":       {0.5, 0, 1, false, "share of standing calls cut; their callers redial", false},
	"discovery_stale": {3, 0, 60, false, "exchange list updates are delayed by this many seconds", false},
	"register_gone":   {0, 0, 0, false, "discovery server fails all queries; routers started meanwhile know no exchange", false},
	"reorder":         {0.3, 0, 1, true, "share of datagrams on the links of a region that are delayed by up to 80 ms", true},
	"stall":           {0, 0, 0, true, "streams between a region and the others deliver nothing until it ends", true},
	"half_cut":        {0, 0, 0, true, "links between a region and the others drop everything without resetting streams", true},
	"disk_full":       {0, 0, 0, false, "routers' disks complete no commit", true},
	"disk_slow":       {20, 1, 500, false, "commits of routers' disks take longer by this factor", true},
	"clock_set":       {2, -60, 60, false, "routers' wall clocks are stepped by this many seconds", true},
	"peer_down":       {0, 0, 0, false, "routers are killed, and restarted when it ends", false},
	"cold_site":       {0, 0, 0, false, "routers and their processors stop; when it ends, all start together, the processors cold", false},
	"give_up":         {0.3, 0, 1, false, "share of tries that the callers abandon while they wait", false},
	"retry_abuse":     {0, 0, 0, false, "callers redial without backoff", false},
}

// FaultKindHelp returns a line for each kind of fault, with its name and the meaning of its size, sorted by name.
func FaultKindHelp() []string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(faultKinds)) {
		out = append(out, fmt.Sprintf("%-16s %s", k, faultKinds[k].description))
	}
	return out
}

// FrontNames are the protocols that a script may choose between routers: one for all pairs, or with "mixed" ISUP for the
// pairs whose exchange numbers have an odd sum.
var FrontNames = []string{"iax2", "m3ua", "mixed"}

//go:embed badday.toml
var builtInScript []byte

// BuiltInScript returns the script that is used if the command line names none.
func BuiltInScript() (*Script, error) { return ParseScript("badday.toml", builtInScript) }

// LoadScript reads and checks a script file.
func LoadScript(path string) (*Script, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScript(path, data)
}

// defaultScript returns the values of keys that a script does not set.
func defaultScript() Script {
	return Script{Name: "day", Length: 20 * time.Second, Seed: 1,
		Fleet: FleetSpec{Exchanges: 8, Regions: []string{"metro"}, Circuits: 30, SetUpRate: 120, QueueWait: 800 * time.Millisecond,
			Lines: 400, RingTime: 20 * time.Millisecond, ColdCapacity: 0.3, ColdDuration: 5 * time.Second, OverloadMultiple: 3,
			OverloadWindow: 2 * time.Second, DrainGrace: time.Second, ReleaseWait: 300 * time.Millisecond,
			ListLag: 100 * time.Millisecond, AcceptDelay: 100 * time.Millisecond, Front: "iax2"},
		Load: LoadSpec{Rate: 100, MaxRedials: 2, Backoff: 700 * time.Millisecond}}
}

// ParseScript parses and checks a script. The error reports everything that is wrong; name is the file name in it.
func ParseScript(name string, data []byte) (*Script, error) {
	s := defaultScript()
	d := tomlbind.Read(name, data, &s)
	s.check(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Script) check(d *tomlbind.Doc) {
	f := &s.Fleet
	if s.Length <= 0 || s.Length > 10*time.Minute {
		d.Report("length", "%v must be above 0 and at most 10 minutes", s.Length)
	}
	if f.Exchanges < 1 || f.Exchanges > 100 {
		d.Report("fleet.exchanges", "%d must be from 1 to 100", f.Exchanges)
	}
	if len(f.Regions) == 0 {
		d.Report("fleet.regions", "at least one region is required")
	}
	if f.Circuits < 1 {
		d.Report("fleet.circuits", "%d must be at least 1", f.Circuits)
	}
	for key, x := range map[string]float64{"fleet.spread": f.CircuitSpread, "fleet.unlinked": f.UnlinkedShare, "fleet.lose": f.LossRate,
		"fleet.repeat": f.DuplicateRate, "load.local": s.Load.LocalShare} {
		if x < 0 || x > 1 {
			d.Report(key, "share %v must be from 0 to 1", x)
		}
	}
	if !slices.Contains(FrontNames, f.Front) {
		d.Report("fleet.front", "%q is not one of %s", f.Front, strings.Join(FrontNames, ", "))
	}
	if f.SetUpRate <= 0 {
		d.Report("fleet.setup_rate", "%v must be above 0", f.SetUpRate)
	}
	if f.ColdCapacity <= 0 || f.ColdCapacity > 1 {
		d.Report("fleet.cold_from", "share %v must be above 0 and at most 1", f.ColdCapacity)
	}
	if s.Load.Rate <= 0 || s.Load.Rate > 5000 {
		d.Report("load.rate", "%v must be above 0 and at most 5000", s.Load.Rate)
	}
	if s.Load.MaxRedials < 0 {
		d.Report("load.redials", "%d must not be negative", s.Load.MaxRedials)
	}
	s.checkClasses(d)
	for i := range s.Faults {
		s.checkFault(d, fmt.Sprintf("trouble[%d]", i+1), &s.Faults[i])
	}
}

func (s *Script) checkClasses(d *tomlbind.Doc) {
	if len(s.Classes) == 0 {
		d.Report("class", "at least one [[class]] is required")
	}
	sum := 0.0
	for i, c := range s.Classes {
		key := fmt.Sprintf("class[%d]", i+1)
		if c.Name == "" {
			d.Report(key+".name", "a name is required")
		}
		if c.Share <= 0 || c.HoldTime <= 0 || c.SetupTarget <= 0 || c.Patience <= 0 || c.Deadline < c.Patience || c.Value <= 0 {
			d.Report(key, "share, hold, aim, patience and worth must be above 0, and deadline at least patience")
		}
		sum += c.Share
	}
	if len(s.Classes) > 0 && (sum < 0.999 || sum > 1.001) {
		d.Report("class", "the shares add up to %v instead of 1", sum)
	}
}

func (s *Script) checkFault(d *tomlbind.Doc, key string, fault *Fault) {
	k, ok := faultKinds[fault.Kind]
	if !ok {
		d.Report(key+".kind", "%q is not one of %s", fault.Kind, strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "))
		return
	}
	if k.virtualOnly && !s.Virtual {
		d.Report(key+".kind", "%q requires the virtual clock: set virtual = true", fault.Kind)
	}
	if fault.Size == 0 {
		fault.Size = k.defaultSize
	}
	if fault.Size < k.minSize || fault.Size > k.maxSize {
		d.Report(key+".size", "%v must be from %v to %v (%s)", fault.Size, k.minSize, k.maxSize, k.description)
	}
	if fault.At < 0 || fault.At >= s.Length || fault.For < 0 {
		d.Report(key+".at", "%v must be from 0 to below the length of the day, and \"for\" must not be negative", fault.At)
	}
	if fault.Share < 0 || fault.Share > 1 {
		d.Report(key+".part", "share %v must be from 0 to 1", fault.Share)
	}
	for _, x := range fault.Exchanges {
		if x < 0 || x >= s.Fleet.Exchanges {
			d.Report(key+".exchanges", "there is no exchange %d in the fleet", x)
		}
	}
	if fault.Region != "" && !slices.Contains(s.Fleet.Regions, fault.Region) {
		d.Report(key+".region", "%q is not a region of the fleet", fault.Region)
	}
	if k.region && fault.Region == "" {
		fault.Region = s.Fleet.Regions[len(s.Fleet.Regions)-1]
	}
}
