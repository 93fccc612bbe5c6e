// Package decide routes and admits the calls of one signalling proxy in a private voice network.
//
// This file is the package's whole interface: its settings, the events that it takes and the actions that it
// returns. It makes no decisions.
package decide

import (
	"errors"
	"fmt"
	"time"
)

// ExchangeID is the address of an exchange's processor, or of a pool. It is opaque to this package.
type ExchangeID uint64

// CallID identifies one call at this proxy. It is never reused.
type CallID uint32

// Unknown stands for a value that has not been reported, in the fields of Report and in exchange numbers.
const Unknown = -1

// Class describes one class of calls.
type Class struct {
	HoldTime    time.Duration // mean hold time of a call that was set up
	Width       int           // circuits that a call takes on each group
	SetupTarget time.Duration // a call that is set up within this earns its full value
	Deadline    time.Duration // how long a caller keeps trying, from the first try
	Value       float64       // value of a call that is set up within SetupTarget
	LateValue   float64       // share of Value that a call earns after SetupTarget
	Repeat      Repeat        // whether a set-up that may have run can be sent again
	KeyScope    KeyScope      // with RepeatKeyed: the exchanges that discard repeats of one call
	KeyWindow   time.Duration // with RepeatKeyed: how long they do so
}

// Repeat is the rule for sending a call again after an attempt that may have run.
type Repeat uint8

// Kinds of Repeat.
const (
	// RepeatSafe calls can be sent again and refused at any time.
	RepeatSafe Repeat = iota
	// RepeatKeyed calls can be sent again within KeyScope and KeyWindow, where repeats are discarded.
	RepeatKeyed
	// RepeatUnsafe calls must not be sent again once an attempt may have run.
	RepeatUnsafe
)

// KeyScope selects the exchanges that recognise the repeat of a keyed call.
type KeyScope uint8

// Kinds of KeyScope.
const (
	// ScopeAll is every exchange.
	ScopeAll KeyScope = iota
	// ScopeZone is the exchanges in the zone of the first attempt that may have run.
	ScopeZone
	// ScopeExchange is the exchange of the first attempt that may have run.
	ScopeExchange
)

// Tenant is one owner of traffic.
type Tenant struct {
	Quota float64 // calls per second within its share, over all proxies; 0 is no limit
}

// Settings configure one instance. They do not change while it runs.
type Settings struct {
	OwnExchange  int  // number of the own exchange; Unknown with Pools
	Pools        bool // destinations are pools of agents, without transit
	DeliverLocal bool // calls to the own exchange may be set up at its own processor
	Proxies      int  // number of proxies
	Classes      []Class
	ClassPools   [][]int // with Pools: the pools that serve each class
	Tenants      []Tenant

	OverShareValue float64 // value of calls beyond a tenant's share, as a share of their class's value
	MaxAttempts    int     // set-ups sent for one call

	SendRetryAfter bool // refusals carry a retry-after time
	Subscribe      bool // list updates have to be subscribed to
	RedialsMarked  bool // callers mark redials

	MaxRetryAfter        time.Duration // longest retry-after time that callers observe
	ReleaseGuard         time.Duration // wait before a new set-up after a time-out, cut or cancel
	ResendAfter          time.Duration // unanswered set-ups are resent after this; 0 is never
	MaxSubscribeInterval time.Duration // with Subscribe: longest time between tries to subscribe
	ColdCapacity         float64       // least share of its capacity that a processor starts with, 0 to 1
	ColdDuration         time.Duration // time from a processor's start until it has its full capacity
	OverloadMultiple     float64       // a cold processor collapses under this multiple of its capacity
}

// Validate returns an error for the first setting that the Controller cannot work with.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("no call classes configured")
	}
	for i, c := range s.Classes {
		if c.HoldTime <= 0 || c.Width < 1 || c.SetupTarget <= 0 || c.Deadline <= 0 || c.KeyWindow < 0 {
			return fmt.Errorf("class %d: hold time, width, set-up target and deadline must be above zero", i)
		}
		if !(c.Value >= 0) || !(c.LateValue >= 0) {
			return fmt.Errorf("class %d: value must not be negative", i)
		}
	}
	if s.Pools && len(s.ClassPools) != len(s.Classes) {
		return fmt.Errorf("pools configured for %d of %d classes", len(s.ClassPools), len(s.Classes))
	}
	if s.MaxAttempts < 1 || s.Proxies < 1 {
		return errors.New("number of attempts and of proxies must be at least one")
	}
	for _, d := range []time.Duration{s.MaxRetryAfter, s.ReleaseGuard, s.ResendAfter, s.MaxSubscribeInterval,
		s.ColdDuration} {
		if d < 0 {
			return fmt.Errorf("duration %v is negative", d)
		}
	}
	if !(s.ColdCapacity >= 0 && s.ColdCapacity <= 1) || !(s.OverloadMultiple >= 0) {
		return errors.New("cold capacity (0 to 1) or overload multiple (from 0) is out of range")
	}
	return nil
}

// Event is an input of the Controller: one of the event types below.
type Event interface{ event() }

// ListKind is the kind of a ListUpdate.
type ListKind uint8

// Kinds of ListUpdate.
const (
	// ListChanges holds only the entries that changed.
	ListChanges ListKind = iota
	// ListFull holds the complete list; what it lacks has been removed.
	ListFull
	// ListCached holds the complete list from a snapshot, which may be out of date.
	ListCached
	// ListFailed reports a failed subscription; it has no entries and the list stays as it is.
	ListFailed
)

// Phase is the state of an exchange on the list.
type Phase uint8

// Phases of an exchange.
const (
	// Removed exchanges are no longer on the list and get no new set-ups.
	Removed Phase = iota
	// Ready exchanges take set-ups.
	Ready
	// Draining exchanges finish their calls and get no new set-ups.
	Draining
)

// Entry is one entry of the exchange list.
type Entry struct {
	Exchange ExchangeID
	Number   int // of the exchange or pool
	Zone     int
	Phase    Phase
	Started  time.Duration // on the event clock; 0 is long ago
}

// Report is the load report of an exchange. Each field is Unknown if it was not reported.
type Report struct {
	Free, Size    float64 // free circuits and all circuits of the group towards it
	Util          float64 // share of its processor that is busy
	Queue         float64 // set-ups waiting
	Wait          float64 // wait at its processor, in seconds
	MaxRate       float64 // set-ups per second that it can take from all senders together
	ThrottleShare float64 // share of its set-ups that each sender should hold back
}

// NoReport is the Report whose fields are all Unknown.
var NoReport = Report{Unknown, Unknown, Unknown, Unknown, Unknown, Unknown, Unknown}

// Outcome is the result of an attempt. Its zero value is none.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Completed attempts set up their call, which has ended since.
	Completed Outcome = iota + 1
	// Busy is all lines of the number busy, or a signalling fault.
	Busy
	// Rejected attempts were not set up: sent back by an exchange, or no free capacity.
	Rejected
	// TimedOut attempts had no answer in time; the set-up may have run.
	TimedOut
	// Unreachable is no connection to the exchange.
	Unreachable
	// Cut is a set-up or a standing call that was cut.
	Cut
	// Cancelled attempts were cancelled, or released by the caller.
	Cancelled
	// NotSent attempts never left this proxy.
	NotSent
	lastOutcome = NotSent // for range checks
)

// Cause is the reason why an attempt failed.
type Cause uint8

// Causes of a failed attempt.
const (
	// CauseUnknown is any cause without a value of its own.
	CauseUnknown Cause = iota
	// NoCircuit is no free circuit or agent.
	NoCircuit
	// TandemRejected is a rejection by the tandem.
	TandemRejected
	// TandemRejectedFull is a rejection by the tandem because the processor behind it was full.
	TandemRejectedFull
	// ProcessorFull is a rejection by a processor that had no capacity left.
	ProcessorFull
	// LinesBusy is all lines of the called number busy.
	LinesBusy
)

type (
	// ListUpdate reports changes of the exchange list.
	ListUpdate struct {
		Kind    ListKind
		Entries []Entry
	}
	// Offer offers a call to this proxy, which then owes it exactly one final answer.
	Offer struct {
		Call          CallID
		Class         int
		Tenant        int
		CalledNumber  uint64
		Patience      time.Duration // time until the caller abandons this try
		Dest          int           // number of the exchange called, or of the first-choice pool
		AdvisedTandem int           // tandem with most free capacity by a delayed central view, or Unknown
		Width         int           // circuits on each group
		Transit       bool
		Redial        bool
		WasCut        bool // the call stood before, was cut and is offered again
	}
	// AttemptAnswered reports that a call was set up.
	AttemptAnswered struct {
		Call     CallID
		Attempt  int
		Exchange ExchangeID
		Took     time.Duration
	}
	// AttemptEnded reports the end of an attempt. Each SetUp gets exactly one.
	AttemptEnded struct {
		Call      CallID
		Attempt   int
		Exchange  ExchangeID
		Outcome   Outcome
		Cause     Cause
		Wait      time.Duration // time that a full processor asks for before the next set-up, 0 if none
		Took      time.Duration
		Concluded bool // the call no longer needs an answer
		Report    Report
	}
	// CallerAbandoned reports that the caller abandoned the call, which no longer needs an answer.
	CallerAbandoned struct{ Call CallID }
	// ReportReceived carries a load report, either probed for or unsolicited (then Took is 0).
	ReportReceived struct {
		Exchange ExchangeID
		Outcome  Outcome
		Took     time.Duration
		Report   Report
	}
	// TimerExpired reports that the Timer with the same Token expired.
	TimerExpired struct{ Token uint64 }
)

func (ListUpdate) event()      {}
func (Offer) event()           {}
func (AttemptAnswered) event() {}
func (AttemptEnded) event()    {}
func (CallerAbandoned) event() {}
func (ReportReceived) event()  {}
func (TimerExpired) event()    {}

// Action is an output of the Controller: one of the action types below.
type Action interface{ action() }

type (
	// SetUp sends a call towards an exchange. Attempts of a call count from 0.
	SetUp struct {
		Call     CallID
		Exchange ExchangeID
		Timeout  time.Duration // 0 waits until the caller abandons the call
	}
	// Refuse is the final answer to a call that was rejected.
	Refuse struct {
		Call       CallID
		RetryAfter time.Duration // retry-after time for the caller; 0 is none
	}
	// Fail is the final answer to a call that failed after it may have run.
	Fail struct{ Call CallID }
	// Timer requests a TimerExpired event with the same Token.
	Timer struct {
		After time.Duration
		Token uint64
	}
	// Subscribe subscribes to list updates.
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
