// Package decide routes and admits calls for one signalling proxy of a private voice network.
//
// This file is the whole interface: what the module is told and what it asks for. It decides nothing.
package decide

import (
	"errors"
	"fmt"
	"time"
)

// ExchangeID is the address of an exchange's processor (or of a pool). It carries no meaning.
type ExchangeID uint64

// CallID names one call at this proxy; it is never used twice.
type CallID uint32

// Unknown stands for a value that was not told, in Report fields and exchange numbers.
const Unknown = -1

// Class describes one class of call.
type Class struct {
	HoldTime    time.Duration // mean time a call stands
	Width       int           // circuits taken on each group
	SetupTarget time.Duration // a call that stands within this earns its full worth
	Deadline    time.Duration // how long a caller goes on trying, from the first try
	Value       float64       // worth of a call that stands in time
	LateValue   float64       // share of Worth earned after Aim
	Repeat      Repeat        // may a set-up that may have run be sent again?
	KeyScope    KeyScope      // for Keyed: the exchanges that discard repeats of one call
	KeyWindow   time.Duration // for Keyed: how long they do
}

// Repeat tells how freely a call may be sent again.
type Repeat uint8

// Kinds of Repeat.
const (
	RepeatSafe Repeat = iota
	RepeatKeyed
	RepeatUnsafe
)

// KeyScope tells which exchanges know a keyed call as a repeat.
type KeyScope uint8

// Kinds of KeyScope.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeExchange
)

// Tenant is one owner of traffic.
type Tenant struct {
	Quota float64 // calls a second within its share, over all proxies; 0 is no limit
}

// Settings are what one instance is given at its start.
type Settings struct {
	OwnExchange  int  // number of the own exchange; Unknown with Pools
	Pools        bool // the far ends are pools of agents, without transit
	DeliverLocal bool // calls to the own exchange may be set up at its own processor
	Proxies      int  // number of proxies
	Classes      []Class
	ClassPools   [][]int // with Pools: the pools each class may go to
	Tenants      []Tenant

	OverShareValue float64 // worth of calls beyond a tenant's share, as a part of their class's
	MaxAttempts    int

	SendRetryAfter bool // callers are told how long to stay away
	Subscribe      bool // the list has to be asked for
	RedialsMarked  bool // callers mark further tries

	MaxRetryAfter        time.Duration // longest stay-away that callers observe
	ReleaseGuard         time.Duration // wait before a new set-up after a time-out, cut or cancel
	ResendAfter          time.Duration // waiting set-ups are repeated after this; 0 is never
	MaxSubscribeInterval time.Duration // with Subscribe: ask for the list at least this often until it comes
	ColdCapacity         float64       // least part of its capacity with which a processor starts
	ColdDuration         time.Duration
	OverloadMultiple     float64 // sent more than this multiple of its capacity for long, it falls over
}

// Validate reports the first setting that deciding cannot work with.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("no classes of call")
	}
	for i, c := range s.Classes {
		if c.HoldTime <= 0 || c.Width < 1 || c.SetupTarget <= 0 || c.Deadline <= 0 || c.KeyWindow < 0 {
			return fmt.Errorf("class %d: hold, width, aim and deadline must be above zero", i)
		}
		if !(c.Value >= 0) || !(c.LateValue >= 0) {
			return fmt.Errorf("class %d: worth must not be negative", i)
		}
	}
	if s.Pools && len(s.ClassPools) != len(s.Classes) {
		return fmt.Errorf("pools are given for %d of %d classes", len(s.ClassPools), len(s.Classes))
	}
	if s.MaxAttempts < 1 || s.Proxies < 1 {
		return errors.New("attempts and proxies must be at least one")
	}
	for _, d := range []time.Duration{s.MaxRetryAfter, s.ReleaseGuard, s.ResendAfter, s.MaxSubscribeInterval,
		s.ColdDuration} {
		if d < 0 {
			return fmt.Errorf("a time of %v is negative", d)
		}
	}
	if !(s.ColdCapacity >= 0 && s.ColdCapacity <= 1) || !(s.OverloadMultiple >= 0) {
		return errors.New("the cold-start figures are out of range")
	}
	return nil
}

// Event is one thing that this instance learns: one of the event types below.
type Event interface{ event() }

// ListKind tells what a List holds.
type ListKind uint8

// Kinds of List.
const (
	ListChanges ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// Phase is the state of an exchange on the list.
type Phase uint8

// Phases of an exchange.
const (
	Removed Phase = iota
	Ready
	Draining
)

// Entry is one line of the exchange list.
type Entry struct {
	Exchange ExchangeID
	Number   int // of the exchange or pool
	Zone     int
	Phase    Phase
	Started  time.Duration // on the event clock; 0 is long ago
}

// Report is what is known of an exchange at one time; Unknown where not told.
type Report struct {
	Free, Size    float64 // circuits of the group toward it
	Util          float64 // share of its processor that is busy
	Queue         float64 // set-ups waiting
	Wait          float64 // seconds of wait at its processor
	MaxRate       float64 // set-ups a second it can take from all
	ThrottleShare float64 // share of set-ups each sender should hold back
}

// NoReport is the report in which nothing is told.
var NoReport = Report{Unknown, Unknown, Unknown, Unknown, Unknown, Unknown, Unknown}

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Completed   Outcome   = iota + 1
	Busy                  // all lines of the number busy, or a signalling fault
	Rejected              // not set up: returned, or no room
	TimedOut              // may have gone on
	Unreachable           // no connection
	Cut                   // set-up or standing call cut
	Cancelled             // called off
	NotSent               // never left
	lastOutcome = NotSent // for range checks
)

// Cause tells why an attempt did not stand.
type Cause uint8

// Causes of a failed attempt.
const (
	CauseUnknown Cause = iota
	NoCircuit
	TandemRejected
	TandemRejectedFull // turned back, the processor beyond was full
	ProcessorFull
	LinesBusy
)

type (
	// ListUpdate brings news of the exchanges.
	ListUpdate struct {
		Kind    ListKind
		Entries []Entry
	}
	// Offer hands a call to this proxy, which then owes it one final answer.
	Offer struct {
		Call          CallID
		Class         int
		Tenant        int
		CalledNumber  uint64        // the number called
		Patience      time.Duration // until the caller gives up this try
		Dest          int           // number of the exchange called, or of the pool of first choice
		AdvisedTandem int           // the tandem that a centre saw most room at, late; Unknown if none
		Width         int           // circuits on each group
		Transit       bool
		Redial        bool
		WasCut        bool // stood before, was cut, comes again
	}
	// Standing tells that a call was set up.
	Standing struct {
		Call     CallID
		Attempt  int
		Exchange ExchangeID
		Took     time.Duration
	}
	// AttemptEnded tells how an attempt ended; each SetUp gets exactly one.
	AttemptEnded struct {
		Call      CallID
		Attempt   int
		Exchange  ExchangeID
		Outcome   Outcome
		Cause     Cause
		Wait      time.Duration // a full processor's wish, 0 if none
		Took      time.Duration
		Concluded bool // no answer is owed any more
		Report    Report
	}
	// CallerAbandoned tells that no answer is owed any more.
	CallerAbandoned struct{ Call CallID }
	// ReportReceived brings a report, asked for by a Probe or not (then Took is 0).
	ReportReceived struct {
		Exchange ExchangeID
		Outcome  Outcome
		Took     time.Duration
		Report   Report
	}
	// TimerExpired answers a Timer.
	TimerExpired struct{ Token uint64 }
)

func (ListUpdate) event()      {}
func (Offer) event()           {}
func (Standing) event()        {}
func (AttemptEnded) event()    {}
func (CallerAbandoned) event() {}
func (ReportReceived) event()  {}
func (TimerExpired) event()    {}

// Action is one thing this instance wants done: one of the action types below.
type Action interface{ action() }

type (
	// SetUp sends a call towards an exchange. Attempts of a call count from 0.
	SetUp struct {
		Call     CallID
		Exchange ExchangeID
		Timeout  time.Duration // 0 is until the caller gives up
	}
	// Refuse is the final answer: turned away.
	Refuse struct {
		Call       CallID
		RetryAfter time.Duration // advice to the caller; 0 is none
	}
	// Fail is the final answer: given up.
	Fail struct{ Call CallID }
	// Timer asks for a TimerDue.
	Timer struct {
		After time.Duration
		Token uint64
	}
	// Subscribe asks for changes of the list.
	Subscribe struct{}
	// LogLine writes one line to the log.
	LogLine struct{ Text string }
)

func (SetUp) action()     {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Timer) action()     {}
func (Subscribe) action() {}
func (LogLine) action()   {}
