// Package lab plays days and experiments: a fleet of routers with their stand-ins on loopback, a script of
// troubles, the rules judged from the capture, and measurements.
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

// Script is a day as it is written.
type Script struct {
	Name    string        `toml:"name"`
	Length  time.Duration `toml:"length"`
	Seed    uint64        `toml:"seed"`
	Virtual bool          `toml:"virtual"` // it has troubles of the virtual clock alone
	Fleet   FleetSpec     `toml:"fleet"`
	Load    LoadSpec      `toml:"load"`
	Classes []ClassSpec   `toml:"class"`
	Faults  []Fault       `toml:"trouble"`
}

// FleetSpec is the [fleet] table.
type FleetSpec struct {
	Exchanges        int           `toml:"exchanges"`
	Regions          []string      `toml:"regions"`
	Circuits         int           `toml:"circuits"` // of a group, on average
	CircuitSpread    float64       `toml:"spread"`   // they differ by this part either way
	UnlinkedShare    float64       `toml:"unlinked"` // share of pairs without a group
	SetUpRate        float64       `toml:"setup_rate"`
	QueueWait        time.Duration `toml:"queue_wait"`
	Lines            int           `toml:"lines"`
	RingTime         time.Duration `toml:"ring"`
	ColdCapacity     float64       `toml:"cold_from"`
	ColdDuration     time.Duration `toml:"cold_for"`
	OverloadMultiple float64       `toml:"fall_multiple"`
	OverloadWindow   time.Duration `toml:"fall_window"`
	DrainGrace       time.Duration `toml:"drain_grace"`
	ReleaseWait      time.Duration `toml:"release_wait"`
	RegionDelay      time.Duration `toml:"same_delay"`  // one way between exchanges of a region
	CrossRegionDelay time.Duration `toml:"cross_delay"` // and between regions
	Jitter           time.Duration `toml:"jitter"`
	LossRate         float64       `toml:"lose"` // of datagrams between routers
	DuplicateRate    float64       `toml:"repeat"`
	ListLag          time.Duration `toml:"list_lag"`
	AcceptDelay      time.Duration `toml:"accept_delay"`
	Front            string        `toml:"front"` // between routers: iax2, m3ua, or mixed
}

// LoadSpec is the [load] table.
type LoadSpec struct {
	Rate       float64       `toml:"rate"`  // first tries a second, over all exchanges
	LocalShare float64       `toml:"local"` // share of calls to the own exchange
	MaxRedials int           `toml:"redials"`
	Backoff    time.Duration `toml:"backoff"`
}

// ClassSpec is one [[class]].
type ClassSpec struct {
	Name        string        `toml:"name"`
	Share       float64       `toml:"share"`
	HoldTime    time.Duration `toml:"hold"`
	SetupTarget time.Duration `toml:"aim"`
	Patience    time.Duration `toml:"patience"`
	Deadline    time.Duration `toml:"deadline"`
	Value       float64       `toml:"worth"`
	LateValue   float64       `toml:"late_worth"`
}

// Fault is one [[trouble]].
type Fault struct {
	Kind      string        `toml:"kind"`
	At        time.Duration `toml:"at"`
	For       time.Duration `toml:"for"`
	Exchanges []int         `toml:"exchanges"` // struck; if none are named, a part of them
	Share     float64       `toml:"part"`
	Region    string        `toml:"region"`
	Size      float64       `toml:"size"`
}

// kinds are the troubles by name: what the size means, its default, and what is struck. The names are those by
// which operators know them from bench days.
var kinds = map[string]struct {
	size   float64
	least  float64
	most   float64
	region bool // strikes a region
	what   string
	only   bool // on the virtual clock alone
}{
	"burst":           {1.6, 1, 8, false, "calls jump to this multiple", false},
	"hot_caller":      {3, 1, 8, false, "the struck exchanges' callers call this multiple", false},
	"deploy":          {2, 0.1, 60, false, "processors are replaced one after another, each drained for so many seconds", false},
	"crash":           {0, 0, 0, false, "processors stop; others start cold when it ends", false},
	"mass_restart":    {0, 0, 0, false, "processors restart cold, all at once", false},
	"hang":            {0, 0, 0, false, "processors take set-ups and answer none", false},
	"slow":            {3, 1, 100, false, "processors run so many times slower", false},
	"late_answers":    {1, 0.01, 60, false, "answers come so many seconds later", false},
	"answer_lost":     {0.3, 0, 1, false, "share of a switch's datagrams that are lost", false},
	"answer_repeated": {0.5, 0, 1, false, "share of a switch's datagrams that are sent twice", false},
	"reject":          {0.3, 0, 1, false, "share of set-ups rejected with cause 41", false},
	"hang_up":         {0.5, 0, 1, false, "share of calls hung up right after their answer", false},
	"zone_cut":        {0, 0, 0, true, "the links between a region and the others carry nothing", false},
	"lost_messages":   {0.1, 0, 1, true, "share of datagrams lost on the links of a region", false},
	"origin_slow":     {0.5, 0, 1, true, "part of their circuits that a region's groups to the others keep", false},
	"reconnect":       {0.5, 0, 1, false, "share of standing calls cut; they come again", false},
	"discovery_stale": {3, 0, 60, false, "the list comes so many seconds later", false},
	"register_gone":   {0, 0, 0, false, "the register answers nothing; routers that start meanwhile know no exchange", false},
	"reorder":         {0.3, 0, 1, true, "share of datagrams on the links of a region that are held up by up to 80 ms", true},
	"stall":           {0, 0, 0, true, "streams between a region and the others hold what they carry", true},
	"half_cut":        {0, 0, 0, true, "links between a region and the others carry nothing, and nobody is told", true},
	"disk_full":       {0, 0, 0, false, "routers' disks take nothing", true},
	"disk_slow":       {20, 1, 500, false, "routers' disks take so many times longer", true},
	"clock_set":       {2, -60, 60, false, "routers' clocks on the wall are set forward or back by so many seconds", true},
	"peer_down":       {0, 0, 0, false, "routers are killed, and start again when it ends", false},
	"cold_site":       {0, 0, 0, false, "routers and their processors stop; all start together, the processors cold, when it ends", false},
	"give_up":         {0.3, 0, 1, false, "share of tries hung up while they wait", false},
	"retry_abuse":     {0, 0, 0, false, "callers redial at once", false},
}

// FaultKindHelp lists the kinds of trouble with what their size means.
func FaultKindHelp() []string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		out = append(out, fmt.Sprintf("%-16s %s", k, kinds[k].what))
	}
	return out
}

// FrontNames are how routers may speak with each other: all by one protocol, or every other pair by ISUP.
var FrontNames = []string{"iax2", "m3ua", "mixed"}

//go:embed badday.toml
var badDay []byte

// BuiltInScript is the day that is played where no script is named.
func BuiltInScript() (*Script, error) { return ParseScript("badday.toml", badDay) }

// LoadScript reads a script.
func LoadScript(path string) (*Script, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScript(path, data)
}

func defaultScript() Script {
	return Script{Name: "day", Length: 20 * time.Second, Seed: 1,
		Fleet: FleetSpec{Exchanges: 8, Regions: []string{"metro"}, Circuits: 30, SetUpRate: 120, QueueWait: 800 * time.Millisecond,
			Lines: 400, RingTime: 20 * time.Millisecond, ColdCapacity: 0.3, ColdDuration: 5 * time.Second, OverloadMultiple: 3,
			OverloadWindow: 2 * time.Second, DrainGrace: time.Second, ReleaseWait: 300 * time.Millisecond,
			ListLag: 100 * time.Millisecond, AcceptDelay: 100 * time.Millisecond, Front: "iax2"},
		Load: LoadSpec{Rate: 100, MaxRedials: 2, Backoff: 700 * time.Millisecond}}
}

// ParseScript reads and checks a script; everything wrong is reported at once.
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
		d.Report("length", "%v is not above 0, up to 10 minutes", s.Length)
	}
	if f.Exchanges < 1 || f.Exchanges > 100 {
		d.Report("fleet.exchanges", "%d is not from 1 to 100", f.Exchanges)
	}
	if len(f.Regions) == 0 {
		d.Report("fleet.regions", "at least one is needed")
	}
	if f.Circuits < 1 {
		d.Report("fleet.circuits", "%d is under 1", f.Circuits)
	}
	for key, x := range map[string]float64{"fleet.spread": f.CircuitSpread, "fleet.unlinked": f.UnlinkedShare, "fleet.lose": f.LossRate,
		"fleet.repeat": f.DuplicateRate, "load.local": s.Load.LocalShare} {
		if x < 0 || x > 1 {
			d.Report(key, "%v is not a share from 0 to 1", x)
		}
	}
	if !slices.Contains(FrontNames, f.Front) {
		d.Report("fleet.front", "%q is none of %s", f.Front, strings.Join(FrontNames, ", "))
	}
	if f.SetUpRate <= 0 {
		d.Report("fleet.setup_rate", "%v must be above zero", f.SetUpRate)
	}
	if f.ColdCapacity <= 0 || f.ColdCapacity > 1 {
		d.Report("fleet.cold_from", "%v is not a share above 0, up to 1", f.ColdCapacity)
	}
	if s.Load.Rate <= 0 || s.Load.Rate > 5000 {
		d.Report("load.rate", "%v is not above 0, up to 5000", s.Load.Rate)
	}
	if s.Load.MaxRedials < 0 {
		d.Report("load.redials", "%d is negative", s.Load.MaxRedials)
	}
	s.checkClasses(d)
	for i := range s.Faults {
		s.checkTrouble(d, fmt.Sprintf("trouble[%d]", i+1), &s.Faults[i])
	}
}

func (s *Script) checkClasses(d *tomlbind.Doc) {
	if len(s.Classes) == 0 {
		d.Report("class", "at least one [[class]] is needed")
	}
	sum := 0.0
	for i, c := range s.Classes {
		key := fmt.Sprintf("class[%d]", i+1)
		if c.Name == "" {
			d.Report(key+".name", "a name is needed")
		}
		if c.Share <= 0 || c.HoldTime <= 0 || c.SetupTarget <= 0 || c.Patience <= 0 || c.Deadline < c.Patience || c.Value <= 0 {
			d.Report(key, "share, hold, aim, patience and worth must be above zero, and the deadline not before the patience")
		}
		sum += c.Share
	}
	if len(s.Classes) > 0 && (sum < 0.999 || sum > 1.001) {
		d.Report("class", "the shares add up to %v, not to 1", sum)
	}
}

func (s *Script) checkTrouble(d *tomlbind.Doc, key string, t *Fault) {
	k, ok := kinds[t.Kind]
	if !ok {
		d.Report(key+".kind", "%q is none of %s", t.Kind, strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))
		return
	}
	if k.only && !s.Virtual {
		d.Report(key+".kind", "%q is played on the virtual clock alone: virtual = true", t.Kind)
	}
	if t.Size == 0 {
		t.Size = k.size
	}
	if t.Size < k.least || t.Size > k.most {
		d.Report(key+".size", "%v is not from %v to %v (%s)", t.Size, k.least, k.most, k.what)
	}
	if t.At < 0 || t.At >= s.Length || t.For < 0 {
		d.Report(key+".at", "it begins at %v, which is not within the day", t.At)
	}
	if t.Share < 0 || t.Share > 1 {
		d.Report(key+".part", "%v is not a share from 0 to 1", t.Share)
	}
	for _, x := range t.Exchanges {
		if x < 0 || x >= s.Fleet.Exchanges {
			d.Report(key+".exchanges", "there is no exchange %d", x)
		}
	}
	if t.Region != "" && !slices.Contains(s.Fleet.Regions, t.Region) {
		d.Report(key+".region", "%q is none of the fleet's regions", t.Region)
	}
	if k.region && t.Region == "" {
		t.Region = s.Fleet.Regions[len(s.Fleet.Regions)-1]
	}
}
