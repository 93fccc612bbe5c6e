// Package config reads a router's settings from TOML and validates them. All problems are reported together, each with
// file, line and key.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"pipitring/decide"
	"pipitring/internal/call"
	"pipitring/internal/cdr"
	"pipitring/internal/front/isupfront"
	"pipitring/internal/isup"
	"pipitring/internal/m3ua"
	"pipitring/internal/tomlbind"
)

// File mirrors the settings file of a router.
type File struct {
	Router         Router     `toml:"router"`
	Rules          Rules      `toml:"rules"`
	Class          []Class    `toml:"class"`
	Tenant         []Tenant   `toml:"tenant"`
	Exchange       []Exchange `toml:"exchange"`
	Group          []Group    `toml:"group"`
	List           List       `toml:"list"`
	IAX            IAX        `toml:"iax"`
	User           []User     `toml:"user"`
	Switch         Switch     `toml:"switch"`
	M3UA           M3UA       `toml:"m3ua"`
	ISUP           ISUP       `toml:"isup"`
	Records        Records    `toml:"records"`
	HTTP           HTTP       `toml:"http"`
	Log            Log        `toml:"log"`
	OverQuotaValue float64    `toml:"over_share_worth"` // value of calls beyond a tenant's share
}

// Router is the [router] table.
type Router struct {
	Exchange     int            `toml:"exchange"`      // number of the router's own exchange
	Listen       netip.AddrPort `toml:"listen"`        // IPv4 address of the UDP socket
	Routers      int            `toml:"routers"`       // routers in the network; 0 means one per [[exchange]]
	Seed         uint64         `toml:"seed"`          // of random decisions; 0 means a new one at each start
	MaxCalls     int            `toml:"max_calls"`     // concurrent calls; 0 is unlimited
	AnswerMargin time.Duration  `toml:"answer_margin"` // time before the end of the caller's patience at which the final answer is sent
	DrainLimit   time.Duration  `toml:"drain_limit"`   // how long standing calls are kept after SIGTERM
	DefaultClass string         `toml:"default_class"` // of calls that no class matches
	PointCode    uint32         `toml:"point_code"`    // of the own exchange; 0 is its number plus one
}

// Rules is the [rules] table: the delays, thresholds and limits of call handling.
type Rules struct {
	ReleaseWait      time.Duration `toml:"release_wait"`  // delay before the next attempt after one that timed out, was cut or was cancelled
	DrainGrace       time.Duration `toml:"drain_grace"`   // after it no new call is set up to a draining or removed exchange
	ColdCapacity     float64       `toml:"cold_from"`     // share of its capacity that a processor has when it has just started, above 0 to 1
	ColdDuration     time.Duration `toml:"cold_for"`      // length of the slow start, after which a processor has its full capacity
	OverloadMultiple float64       `toml:"fall_multiple"` // load, as a multiple of its capacity, above which a processor collapses
	MaxAttempts      int           `toml:"max_attempts"`  // set-up attempts per call
	MaxRetryAfter    time.Duration `toml:"max_stay_away"` // longest retry-after sent to a caller
	ClockDrift       float64       `toml:"clock_drift"`   // largest relative difference between clock rates, 0 to 0.1
}

// Class is one [[class]] table: a class of calls and how calls are recognised as belonging to it.
type Class struct {
	Name        string        `toml:"name"`
	HoldTime    time.Duration `toml:"hold"`       // mean length of a call
	Width       int           `toml:"width"`      // circuits per call on each group; 0 is 1
	SetupTarget time.Duration `toml:"aim"`        // set-up time within which a call has its full value
	Deadline    time.Duration `toml:"deadline"`   // how long the caller redials
	Patience    time.Duration `toml:"patience"`   // time after which the caller abandons an attempt; 0 is the deadline
	Value       float64       `toml:"worth"`      // of a call that is set up within the target, relative to other classes
	LateValue   float64       `toml:"late_worth"` // share of the value for a call set up after the target, 0 to 1
	Users       []string      `toml:"users"`
	Contexts    []string      `toml:"contexts"`
	Prefixes    []string      `toml:"prefixes"`
}

// Tenant is one [[tenant]] table: an owner of traffic with a quota.
type Tenant struct {
	Name     string   `toml:"name"`
	Quota    float64  `toml:"quota"` // calls per second over all routers; 0 is unlimited
	Users    []string `toml:"users"`
	Contexts []string `toml:"contexts"`
	Prefixes []string `toml:"prefixes"`
}

// Exchange is one [[exchange]] table: an exchange of the network and the number prefixes that it serves.
type Exchange struct {
	Number   int      `toml:"number"`
	Name     string   `toml:"name"`
	Zone     string   `toml:"zone"`
	Prefixes []string `toml:"prefixes"`
}

// Group is one [[group]] table: a trunk group of this router's exchange.
type Group struct {
	To       int            `toml:"to"` // number of the neighbour exchange
	Circuits int            `toml:"circuits"`
	Peer     netip.AddrPort `toml:"peer"` // address that the neighbour's router sends from, besides that on the list
	// Front is FrontIAX2 or FrontISUP; empty means FrontIAX2. The fields below apply to FrontISUP only.
	Front     string           `toml:"front"`
	PointCode uint32           `toml:"point_code"` // of the neighbour; 0 is its number plus one
	FirstCIC  int              `toml:"first_cic"`  // 0 is 1
	Connect   []netip.AddrPort `toml:"connect"`    // associations that this end establishes
}

// Switch is the [switch] table: the circuits to the exchange's own switch if that uses ISUP. If front is empty, the
// switch uses IAX2 at its address on the exchange list, and circuits is the number of its lines.
type Switch struct {
	Front     string           `toml:"front"`
	PointCode uint32           `toml:"point_code"`
	FirstCIC  int              `toml:"first_cic"`
	Circuits  int              `toml:"circuits"`
	Connect   []netip.AddrPort `toml:"connect"`
}

// Signalling protocols of a group.
const (
	FrontIAX2 = "iax2" // IAX2 (RFC 5456) over UDP
	FrontISUP = "isup" // ISUP over M3UA over TCP
)

// List is the [list] table: the source of the exchange list, either a file or a service-discovery API.
type List struct {
	File         string        `toml:"file"`
	DiscoveryURL string        `toml:"register"` // of a service-discovery API in the form of Consul's
	Service      string        `toml:"service"`  // name of the service there
	QueryWait    time.Duration `toml:"wait"`     // of one blocking query
}

// IAX is the [iax] table: the parameters of the IAX2 endpoint.
type IAX struct {
	RetransmitInterval    time.Duration `toml:"retry_first"` // before the first retransmission; it doubles with each
	MaxRetransmitInterval time.Duration `toml:"retry_max"`
	MaxRetransmits        int           `toml:"retries"`
	AckDelay              time.Duration `toml:"ack_delay"`    // how long an ACK waits to be carried by another frame
	AcceptDelay           time.Duration `toml:"accept_delay"` // before ACCEPT is sent alone, if neither ANSWER nor REJECT came
	Linger                time.Duration `toml:"linger"`       // how long a call number stays reserved after its call
	PingInterval          time.Duration `toml:"ping_every"`   // on standing calls; 0 is never
	MaxRefresh            time.Duration `toml:"refresh"`      // longest registration
	MaxDialogs            int           `toml:"max_dialogs"`  // 1 to 32766
	MaxPerHost            int           `toml:"max_per_host"` // dialogs per address that is no neighbour's; 0 is unlimited
	CallTokens            bool          `toml:"call_tokens"`  // require call tokens, so that spoofed sources get no call numbers
	Challenge             bool          `toml:"challenge"`    // authenticate the calls of subscribers
}

// M3UA is the [m3ua] table: the M3UA associations over TCP of groups with front = "isup".
type M3UA struct {
	Listen            netip.AddrPort `toml:"listen"`
	Mode              string         `toml:"mode"`            // "override" or "loadshare"
	RoutingContext    uint32         `toml:"routing_context"` // 0 is none
	AckTimeout        time.Duration  `toml:"ack_wait"`        // for the response to ASPUP and the like
	MaxRetries        int            `toml:"retries"`
	HeartbeatInterval time.Duration  `toml:"beat"`    // the association is closed after two heartbeats without a response
	MaxUnsentBytes    int            `toml:"max_out"` // unsent bytes at which the association is closed
}

// ISUP is the [isup] table: the circuits' timers (Q.764, annex A).
type ISUP struct {
	T1  time.Duration `toml:"t1"`
	T5  time.Duration `toml:"t5"`
	T7  time.Duration `toml:"t7"`
	T9  time.Duration `toml:"t9"`
	T12 time.Duration `toml:"t12"`
	T13 time.Duration `toml:"t13"`
	T16 time.Duration `toml:"t16"`
	T17 time.Duration `toml:"t17"`
}

// User is one [[user]] table: the credentials of a subscriber that authenticates itself.
type User struct {
	Name   string `toml:"name"`
	Secret string `toml:"secret"`
}

// HTTP is the [http] table: the address on which metrics and health are served.
type HTTP struct {
	Listen netip.AddrPort `toml:"listen"`
}

// Log is the [log] table.
type Log struct {
	Level     string `toml:"level"`
	PerSecond int    `toml:"per_second"` // lines of the same message written per second
}

// Defaults returns the settings of an empty file.
func Defaults() File {
	return File{
		Router: Router{AnswerMargin: 60 * time.Millisecond, DrainLimit: 30 * time.Second, MaxCalls: 20000},
		Rules: Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, ColdCapacity: 0.3,
			ColdDuration: 15 * time.Second, OverloadMultiple: 3, MaxAttempts: 5, MaxRetryAfter: 2 * time.Second, ClockDrift: 0.01},
		List: List{Service: "exchange", QueryWait: 30 * time.Second},
		IAX: IAX{RetransmitInterval: 500 * time.Millisecond, MaxRetransmitInterval: 4 * time.Second, MaxRetransmits: 4,
			AckDelay: 20 * time.Millisecond, AcceptDelay: 150 * time.Millisecond, Linger: 3 * time.Second,
			PingInterval: 20 * time.Second, MaxRefresh: time.Minute, MaxDialogs: 32000, MaxPerHost: 2000, CallTokens: true},
		M3UA: M3UA{Mode: "override", AckTimeout: 2 * time.Second, MaxRetries: 4,
			HeartbeatInterval: 5 * time.Second, MaxUnsentBytes: 256 << 10},
		ISUP: ISUP{T1: 15 * time.Second, T5: 5 * time.Minute, T7: 20 * time.Second, T9: 90 * time.Second,
			T12: 15 * time.Second, T13: 5 * time.Minute, T16: 15 * time.Second, T17: 5 * time.Minute},
		Records: DefaultRecords(),
		Log:     Log{Level: "info", PerSecond: 200},
	}
}

// Settings is a router's validated configuration.
type Settings struct {
	File
	Path       string       // file name given in errors; relative paths in the settings are relative to its directory
	Tariffs    *cdr.Tariffs // nil: call records are stored unrated
	Plan       *call.Plan   // dial plan built from the settings
	GroupSizes map[int]int  // circuits of each trunk group, by the number of the neighbour exchange
	Zones      []string     // zones of the exchanges, in the order in which they first occur; a zone's number is its index
}

// Load reads and validates the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse reads and validates settings; path is the file name given in errors.
func Parse(path string, data []byte) (*Settings, error) {
	s := &Settings{File: Defaults(), Path: path}
	doc := tomlbind.Read(path, data, &s.File)
	s.check(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// DecideSettings converts the settings to those of the decision module.
func (s *Settings) DecideSettings() decide.Settings {
	d := decide.Settings{OwnExchange: s.Router.Exchange, DeliverLocal: true, Proxies: s.Router.Routers,
		OverQuotaValue: s.OverQuotaValue, MaxAttempts: s.Rules.MaxAttempts, SendRetryAfter: true,
		MaxRetryAfter: s.Rules.MaxRetryAfter, ReleaseWait: s.lengthenForDrift(s.Rules.ReleaseWait),
		ResendAfter: s.IAX.RetransmitInterval, ColdCapacity: s.Rules.ColdCapacity, ColdDuration: s.Rules.ColdDuration,
		OverloadMultiple: s.Rules.OverloadMultiple}
	for _, c := range s.Class {
		d.Classes = append(d.Classes, decide.Class{HoldTime: c.HoldTime, Width: c.Width, SetupTarget: c.SetupTarget,
			Deadline: c.Deadline, Value: c.Value, LateValue: c.LateValue})
	}
	for _, t := range s.Tenant {
		d.Tenants = append(d.Tenants, decide.Tenant{Quota: t.Quota})
	}
	return d
}

// OwnCircuits returns the number of circuits or lines of the exchange's own switch. If that is not set, it is the sum of
// the trunk groups' circuits, so that a switch in slow start is not treated as one with a single line.
func (s *Settings) OwnCircuits() int {
	if s.Switch.Circuits > 0 {
		return s.Switch.Circuits
	}
	n := 0
	for _, size := range s.GroupSizes {
		n += size
	}
	return n
}

// CallSettings converts the settings to those of the call core; seed is used if the settings have a seed of 0.
func (s *Settings) CallSettings(seed uint64) call.Settings {
	if s.Router.Seed != 0 {
		seed = s.Router.Seed
	}
	c := call.Settings{Decide: s.DecideSettings(), Seed: seed, Groups: s.GroupSizes, OwnCircuits: s.OwnCircuits(),
		Plan: s.Plan, AnswerMargin: s.Router.AnswerMargin, DrainGrace: s.shortenForDrift(s.Rules.DrainGrace),
		MaxCalls: s.Router.MaxCalls}
	if s.Records.Dir != "" && s.Records.Answer == AnswerDurable {
		c.DurableTimeout = s.Records.DurableTimeout
	}
	for _, class := range s.Class {
		c.Patience = append(c.Patience, s.shortenForDrift(class.Patience))
	}
	return c
}

// lengthenForDrift returns the duration to measure on the local clock so that at least d has passed on every clock that
// runs up to clock_drift slower.
func (s *Settings) lengthenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.Rules.ClockDrift))
}

// shortenForDrift returns the duration to measure on the local clock so that at most d has passed on every clock that
// runs up to clock_drift faster.
func (s *Settings) shortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + s.Rules.ClockDrift))
}

// ISUPGroups returns the trunk groups and, as the last one, the circuits to the exchange's own switch. Groups that use
// IAX2 are included.
func (s *Settings) ISUPGroups() []Group {
	sw := s.Switch
	return append(slices.Clone(s.Group), Group{To: s.Router.Exchange, Circuits: sw.Circuits, Front: sw.Front,
		PointCode: sw.PointCode, FirstCIC: sw.FirstCIC, Connect: sw.Connect})
}

// ISUPConfig converts the groups with front = "isup" to the configuration of the ISUP front end.
func (s *Settings) ISUPConfig() isupfront.Config {
	t := isup.Timers(s.ISUP)
	c := isupfront.Config{Mode: m3ua.TrafficOverride, OwnExchange: s.Router.Exchange}
	if s.M3UA.Mode == "loadshare" {
		c.Mode = m3ua.TrafficLoadshare
	}
	c.Link = m3ua.Config{RoutingContext: s.M3UA.RoutingContext, Mode: c.Mode, AckTimeout: s.M3UA.AckTimeout, MaxRetries: s.M3UA.MaxRetries,
		HeartbeatInterval: s.M3UA.HeartbeatInterval, MaxUnsentBytes: s.M3UA.MaxUnsentBytes}
	for _, g := range s.ISUPGroups() {
		if g.Front == FrontISUP {
			c.Groups = append(c.Groups, isupfront.GroupConfig{Exchange: g.To, Circuits: isup.Config{FirstCIC: isup.CIC(g.FirstCIC),
				Circuits: g.Circuits, OwnPointCode: s.Router.PointCode, FarPointCode: g.PointCode, Timers: t}})
		}
	}
	return c
}

// Secret returns a user's secret, and whether the user is known.
func (s *Settings) Secret(user string) (string, bool) {
	for _, u := range s.User {
		if u.Name == user {
			return u.Secret, true
		}
	}
	return "", false
}

// CheckReload returns an error if next differs from s in settings that cannot change while the router runs.
func (s *Settings) CheckReload(next *Settings) error {
	if !s.Records.equal(&next.Records) {
		return fmt.Errorf("%s: a change of [records] needs a restart", next.Path)
	}
	listenChanged := s.Router.Listen != next.Router.Listen && next.Router.Listen.Port() != 0 // port 0 accepts any port
	if s.Router.Exchange != next.Router.Exchange || listenChanged {
		return fmt.Errorf("%s: a change of router.exchange or router.listen needs a restart", next.Path)
	}
	if !slices.EqualFunc(s.ISUPConfig().Groups, next.ISUPConfig().Groups, func(a, b isupfront.GroupConfig) bool { return a == b }) {
		return fmt.Errorf("%s: a change of groups with front = \"isup\" needs a restart", next.Path)
	}
	if len(s.Class) != len(next.Class) || len(s.Tenant) != len(next.Tenant) {
		return fmt.Errorf("%s: a change of the number of classes or tenants needs a restart", next.Path)
	}
	for i := range s.Class {
		if s.Class[i].Name != next.Class[i].Name {
			return fmt.Errorf("%s: class %d was named %q: a change of class names needs a restart", next.Path, i+1, s.Class[i].Name)
		}
	}
	return nil
}
