// Package cdr keeps call detail records: one for each call taken, whatever its end. It decides what is written when,
// how a call is closed that was open when the process was killed, how calls are rated, and what goes into which export
// batch. It has no I/O and no clock; what it keeps goes through the Keeper it is given.
package cdr

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ID names one call, for ever: the router that took it, which of its lives it was, and the how-manieth call of that.
type ID struct {
	Router      uint32 `json:"router"`
	Incarnation uint32 `json:"life"`
	Call        uint64 `json:"call"`
}

func (id ID) String() string { return fmt.Sprintf("%d-%d-%d", id.Router, id.Incarnation, id.Call) }

// ParseID reads what String writes.
func ParseID(s string) (id ID, err error) {
	parts := strings.Split(s, "-")
	bad := fmt.Errorf("%q is no call id such as \"3-17-4711\" (router, life, call)", s)
	if len(parts) != 3 {
		return id, bad
	}
	router, err1 := strconv.ParseUint(parts[0], 10, 32)
	life, err2 := strconv.ParseUint(parts[1], 10, 32)
	call, err3 := strconv.ParseUint(parts[2], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return id, bad
	}
	return ID{uint32(router), uint32(life), call}, nil
}

// MarshalText writes an id as String does.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText reads it.
func (id *ID) UnmarshalText(b []byte) (err error) {
	*id, err = ParseID(string(b))
	return err
}

// End tells how a call ended for its caller.
type End uint8

// Ends of a call.
const (
	Answered  End = iota + 1 // it was answered, and released by either end
	Cut                      // it was answered, and cut
	Refused                  // turned away
	Failed                   // given up
	Abandoned                // the caller hung up before any answer
)

var endNames = []string{"", "stood", "cut", "refused", "failed", "left"}

func (e End) String() string { return nameOf(endNames, int(e)) }

// MarshalText writes an end's name.
func (e End) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText reads it.
func (e *End) UnmarshalText(b []byte) error { return valueOf(endNames, "end", b, (*uint8)(e)) }

// EndSource tells how the end of a call is known.
type EndSource uint8

// Ways to know a call's end.
const (
	EndedByRouter   EndSource = iota + 1 // the router gave the final answer
	EndedByCaller                        // the caller's end released it
	EndedByFarEnd                        // the far end released it
	EndedByLoss                          // an end was lost
	EndedByTimer                         // the watchdog ended it
	EndedByRecovery                      // the router was killed while it stood: its end lies after Seen, and is not known
)

var knownNames = []string{"", "router", "caller", "far end", "loss", "timer", "recovery"}

func (k EndSource) String() string { return nameOf(knownNames, int(k)) }

// MarshalText writes its name.
func (k EndSource) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads it.
func (k *EndSource) UnmarshalText(b []byte) error {
	return valueOf(knownNames, "known", b, (*uint8)(k))
}

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

func valueOf(names []string, what string, b []byte, v *uint8) error {
	for i, n := range names {
		if n == string(b) && n != "" {
			*v = uint8(i)
			return nil
		}
	}
	return fmt.Errorf("%s: %q is none of %s", what, b, strings.Join(names[1:], ", "))
}

// Attempt is one set-up of a call.
type Attempt struct {
	Exchange int           `json:"exchange"` // number it was sent to; -1 unknown
	Tandem   bool          `json:"tandem,omitempty"`
	Front    string        `json:"front,omitempty"` // empty where it could not leave
	Circuit  int           `json:"circuit,omitempty"`
	After    time.Duration `json:"after_ns"` // since the offer
	Took     time.Duration `json:"took_ns"`
	Outcome  string        `json:"outcome"`
	Cause    uint8         `json:"cause,omitempty"`
}

// Record is what is kept of one call. Times of day are by the router's clock at that moment, lengths by its monotonic
// one: where the clock was set in mid-call they disagree, and Stepped says by how much.
type Record struct {
	ID        ID            `json:"id"`
	Version   uint16        `json:"version"` // 1, and one more for each time it was rated again
	End       End           `json:"end"`
	Cause     uint8         `json:"cause"` // Q.850
	EndSource EndSource     `json:"known"`
	Class     string        `json:"class"`
	Tenant    string        `json:"tenant,omitempty"`
	Called    string        `json:"called"`
	Calling   string        `json:"calling"`
	User      string        `json:"user,omitempty"`
	Context   string        `json:"context,omitempty"`
	Front     string        `json:"front"`
	Circuit   int           `json:"circuit,omitempty"`
	Origin    int           `json:"origin"` // exchange whose group it came over; -1 a subscriber
	Dest      int           `json:"dest"`
	Transit   bool          `json:"transit,omitempty"`
	Width     int           `json:"width"`
	Offered   time.Time     `json:"offered"`
	Answered  time.Time     `json:"answered,omitzero"`
	Ended     time.Time     `json:"ended"`
	LastSeen  time.Time     `json:"seen,omitzero"` // of ByRecovery: when it was last known to stand
	SetUp     time.Duration `json:"setup_ns"`
	Duration  time.Duration `json:"length_ns"`
	ClockStep time.Duration `json:"stepped_ns,omitempty"`
	Attempts  []Attempt     `json:"attempts,omitempty"`
	Charge    Charge        `json:"charge"`
}

// Charge is what a call costs.
type Charge struct {
	Tariff   string        `json:"tariff,omitempty"` // name and version that it was rated by; empty: unrated
	Amount   string        `json:"amount,omitempty"` // decimal, exact to the currency's places
	Currency string        `json:"currency,omitempty"`
	Billed   time.Duration `json:"billed_ns,omitempty"`
	Note     string        `json:"note,omitempty"` // free, emergency, not answered; or why it is unrated
}

// Rated tells whether a tariff said what the call costs.
func (c Charge) Rated() bool { return c.Tariff != "" }

// Equal tells whether two charges say the same; two that are unrated do, whatever the reason.
func (c Charge) Equal(o Charge) bool { return c == o || !c.Rated() && !o.Rated() }
