// Package decide routes and admits the calls of one signalling proxy in a private voice network.
//
// This file declares the settings, the events that Controller.Feed accepts and the actions that it returns.
// The decisions are in decide.go.
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

// Unknown marks a field of Report that was not reported, and an exchange or tenant number that is not known.
const Unknown = -1

// Class describes one class of calls.
type Class struct {
	HoldTime    time.Duration // mean hold time of a call that was set up
	Width       int           // circuits that a call takes on each group
	SetupTarget time.Duration // a call set up within this, from the first try on, earns its full value
	Deadline    time.Duration // how long a caller keeps redialling, counted from the first try
	Value       float64       // value of a call that is set up within SetupTarget
	LateValue   float64       // share of Value that a call set up after SetupTarget earns
	Repeat      Repeat        // whether a set-up that may have run can be sent again
	KeyScope    KeyScope      // with RepeatKeyed: the exchanges that detect and discard repeats of a call
	KeyWindow   time.Duration // with RepeatKeyed: how long after a set-up they discard its repeats
}

// Repeat is the rule for sending a call again after an attempt that may have run.
type Repeat uint8

// Kinds of Repeat.
const (
	// RepeatSafe calls can be sent again, or refused, at any time.
	RepeatSafe Repeat = iota
	// RepeatKeyed calls can be sent again to the exchanges of KeyScope during KeyWindow, since repeats are
	// discarded there.
	RepeatKeyed
	// RepeatUnsafe calls must not be sent again once an attempt may have run.
	RepeatUnsafe
)

// KeyScope selects the exchanges that detect the repeat of a RepeatKeyed call.
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
	Quota float64 // calls per second at full value, over all proxies; 0 is no limit
}

// Settings configure one instance. They do not change while it runs.
type Settings struct {
	OwnExchange  int  // number of the exchange that this proxy belongs to; Unknown with Pools
	Pools        bool // destinations are pools of agents; calls overflow to other pools instead of tandems
	DeliverLocal bool // calls to the own exchange are set up at its processor; otherwise they are refused
	Proxies      int  // number of proxies that share the traffic and the quotas
	Classes      []Class
	ClassPools   [][]int // with Pools: the pools that serve each class
	Tenants      []Tenant

	OverQuotaValue float64 // value of calls over their tenant's quota, as a share of their class's value
	MaxAttempts    int     // most set-ups sent for one call

	SendRetryAfter bool // refusals carry a retry-after time
	Subscribe      bool // list updates have to be subscribed to
	RedialsMarked  bool // callers mark redials; otherwise calls to a number with a rejected call count as redials

	MaxRetryAfter        time.Duration // longest retry-after time that callers observe
	ReleaseWait          time.Duration // wait before a call's next set-up after a time-out, cut or cancellation
	ResendAfter          time.Duration // unanswered set-ups are resent after this; 0 is never
	MaxSubscribeInterval time.Duration // with Subscribe: longest time between tries to subscribe
	ColdCapacity         float64       // share of its full capacity that a processor has when it starts, 0 to 1
	ColdDuration         time.Duration // time after its start until a processor has its full capacity
	OverloadMultiple     float64       // a cold processor collapses at this multiple of its current capacity
}

// Validate returns an error for the first setting that is out of range.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("no call classes configured")
	}
	for i, c := range s.Classes {
		if c.HoldTime <= 0 || c.Width < 1 || c.SetupTarget <= 0 || c.Deadline <= 0 || c.KeyWindow < 0 {
			return fmt.Errorf(
				"class %d: hold time, width, set-up target and deadline must be above zero, key window not negative", i)
		}
		if !(c.Value >= 0) || !(c.LateValue >= 0) {
			return fmt.Errorf("class %d: value and late value must not be negative", i)
		}
	}
	if s.Pools && len(s.ClassPools) != len(s.Classes) {
		return fmt.Errorf("pools are configured for %d classes, expected %d", len(s.ClassPools), len(s.Classes))
	}
	if s.MaxAttempts < 1 || s.Proxies < 1 {
		return errors.New("maximum number of attempts and number of proxies must be at least one")
	}
	for _, d := range []time.Duration{s.MaxRetryAfter, s.ReleaseWait, s.ResendAfter, s.MaxSubscribeInterval,
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
	// ListFull holds the complete list; exchanges missing from it have been removed.
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
	Started  time.Duration // when its processor started, on the event clock; 0 is long ago
}

// Report is the load report of an exchange. Each field is Unknown if it was not reported.
type Report struct {
	Free, Size    float64 // free circuits and all circuits of the group towards it
	Util          float64 // share of its processor that is busy
	Queue         float64 // set-ups waiting
	Wait          float64 // wait at its processor, in seconds
	MaxRate       float64 // set-ups per second that it can take from all senders together
	ThrottleShare float64 // share of its set-ups that each sender should not send
}

// NoReport is the Report whose fields are all Unknown.
var NoReport = Report{Unknown, Unknown, Unknown, Unknown, Unknown, Unknown, Unknown}

// Outcome is the result of an attempt. The zero value is not an outcome.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Completed means that the call was set up and has ended.
	Completed Outcome = iota + 1
	// Busy means that all lines of the called number are busy (Cause LinesBusy), or a signalling fault.
	Busy
	// Rejected means that an exchange rejected the set-up or had no free capacity.
	Rejected
	// TimedOut means that no answer arrived in time; the set-up may have run.
	TimedOut
	// Unreachable means that there was no connection to the exchange.
	Unreachable
	// Cut means that the connection was lost during the set-up or the standing call.
	Cut
	// Cancelled means that the set-up was cancelled, or that the caller released the standing call.
	Cancelled
	// NotSent means that the set-up never left this proxy.
	NotSent
	lastOutcome = NotSent // for range checks
)

// Cause is the reason why an attempt failed.
type Cause uint8

// Causes of a failed attempt.
const (
	// CauseUnknown stands for every cause that has no value of its own.
	CauseUnknown Cause = iota
	// NoCircuit means that no circuit or agent was free.
	NoCircuit
	// TandemRejected means that the tandem rejected the call.
	TandemRejected
	// TandemRejectedFull means that the tandem rejected the call because the destination's processor had no
	// capacity left.
	TandemRejectedFull
	// ProcessorFull means that the processor that received the set-up had no capacity left.
	ProcessorFull
	// LinesBusy means that all lines of the called number were busy.
	LinesBusy
)

type (
	// ListUpdate reports changes of the exchange list.
	ListUpdate struct {
		Kind    ListKind
		Entries []Entry
	}
	// Offer offers a call to this proxy. The answer is exactly one Refuse or Fail, unless the call is set up
	// or its caller abandons it.
	Offer struct {
		Call          CallID
		Class         int
		Tenant        int
		CalledNumber  uint64
		Patience      time.Duration // time until the caller abandons this try
		Dest          int           // number of the exchange called, or of the first-choice pool
		AdvisedTandem int           // tandem with most free capacity in a delayed central view, or Unknown
		Width         int           // circuits that it takes on each group; 0 takes the width of its class
		Transit       bool          // it came over a trunk group from another exchange
		Redial        bool
		WasCut        bool // it was standing before, was cut and is offered again
	}
	// AttemptAnswered reports that a call was set up.
	AttemptAnswered struct {
		Call     CallID
		Attempt  int
		Exchange ExchangeID
		Took     time.Duration
	}
	// AttemptEnded reports the end of an attempt, of a standing call too. Each SetUp gets exactly one.
	AttemptEnded struct {
		Call      CallID
		Attempt   int
		Exchange  ExchangeID
		Outcome   Outcome
		Cause     Cause
		Wait      time.Duration // pause that a full processor requests, 0 if none; not used
		Took      time.Duration
		Concluded bool // the call no longer needs an answer
		Report    Report
	}
	// CallerAbandoned reports that the caller abandoned the call, which no longer needs an answer.
	CallerAbandoned struct{ Call CallID }
	// ReportReceived carries a load report, requested or unsolicited (then Took is 0). Only Exchange and
	// Report are used.
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
	// SetUp sends a call to an exchange. The attempts of a call are numbered from 0, in the order of its
	// SetUps.
	SetUp struct {
		Call     CallID
		Exchange ExchangeID
		Timeout  time.Duration // 0 waits until the caller abandons the call
	}
	// Refuse is the final answer to a call that has not run, or whose repeats are discarded.
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
