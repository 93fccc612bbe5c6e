// Package cdr implements call detail records: one for each call, whatever its end. It decides what is written when,
// how a call is closed that was open when the process was killed, how calls are rated, and which records go into
// which export batch. It has no clock and does no I/O of its own: it reads through a Store and writes to a
// WriteBatch.
package cdr

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ID identifies one call, permanently: the router that took it, the incarnation of that router, and the call's
// sequence number in that incarnation.
type ID struct {
	Router      uint32 `json:"router"`
	Incarnation uint32 `json:"life"`
	Call        uint64 `json:"call"`
}

// String returns router, incarnation and call, joined by hyphens.
func (id ID) String() string { return fmt.Sprintf("%d-%d-%d", id.Router, id.Incarnation, id.Call) }

// ParseID parses the form that String returns.
func ParseID(s string) (id ID, err error) {
	parts := strings.Split(s, "-")
	bad := fmt.Errorf("invalid call id %q, must be like \"3-17-4711\" (router, incarnation, call)", s)
	if len(parts) != 3 {
		return id, bad
	}
	router, err1 := strconv.ParseUint(parts[0], 10, 32)
	incarnation, err2 := strconv.ParseUint(parts[1], 10, 32)
	call, err3 := strconv.ParseUint(parts[2], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return id, bad
	}
	return ID{uint32(router), uint32(incarnation), call}, nil
}

// MarshalText returns the same as String.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText parses the form that String returns.
func (id *ID) UnmarshalText(b []byte) (err error) {
	*id, err = ParseID(string(b))
	return err
}

// End is the way a call ended for its caller. Its zero value is none.
type End uint8

// Ends of a call.
const (
	// Answered calls were answered and released by either end.
	Answered End = iota + 1
	// Cut calls were answered and then cut.
	Cut
	// Refused calls were rejected.
	Refused
	// Failed calls were ended by the router without an answer.
	Failed
	// Abandoned calls were released by the caller before any answer.
	Abandoned
)

var endNames = []string{"", "stood", "cut", "refused", "failed", "left"}

// String returns the name of the end, as in records and metrics.
func (e End) String() string { return enumName(endNames, int(e)) }

// MarshalText returns the name of the end.
func (e End) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText parses the name of an end.
func (e *End) UnmarshalText(b []byte) error { return parseEnum(endNames, "end", b, (*uint8)(e)) }

// EndSource is what ended a call. Its zero value is none.
type EndSource uint8

// Sources of a call's end.
const (
	// EndedByRouter is a final answer that the router gave itself.
	EndedByRouter EndSource = iota + 1
	// EndedByCaller is a release by the caller's side.
	EndedByCaller
	// EndedByFarEnd is a release by the far end.
	EndedByFarEnd
	// EndedByLoss is the loss of either side of the call.
	EndedByLoss
	// EndedByTimer is a release by the watchdog.
	EndedByTimer
	// EndedByRecovery means that the router was killed during the call, which ended at an unknown time after LastSeen.
	EndedByRecovery
)

var endSourceNames = []string{"", "router", "caller", "far end", "loss", "timer", "recovery"}

// String returns the name of the source, as in records.
func (s EndSource) String() string { return enumName(endSourceNames, int(s)) }

// MarshalText returns the name of the source.
func (s EndSource) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a source.
func (s *EndSource) UnmarshalText(b []byte) error {
	return parseEnum(endSourceNames, "known", b, (*uint8)(s))
}

// enumName returns the name of an enum value, or its number if it has none.
func enumName(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

// parseEnum sets v to the enum value with the name b. kind is the name of the field, for errors.
func parseEnum(names []string, kind string, b []byte, v *uint8) error {
	for i, n := range names {
		if n == string(b) && n != "" {
			*v = uint8(i)
			return nil
		}
	}
	return fmt.Errorf("%s: unknown value %q, must be one of %s", kind, b, strings.Join(names[1:], ", "))
}

// Attempt is one set-up of a call.
type Attempt struct {
	Exchange int           `json:"exchange"` // number of the exchange it was sent to; -1 if unknown
	Tandem   bool          `json:"tandem,omitempty"`
	Front    string        `json:"front,omitempty"` // empty if it was not sent
	Circuit  int           `json:"circuit,omitempty"`
	After    time.Duration `json:"after_ns"` // time from the offer of the call to the set-up
	Duration time.Duration `json:"took_ns"`
	Outcome  string        `json:"outcome"`
	Cause    uint8         `json:"cause,omitempty"`
}

// Record is the record of one call. Times of day are what the router's wall clock showed then, durations are by its
// monotonic clock. If the wall clock was set during the call, they differ by ClockStep.
type Record struct {
	ID        ID            `json:"id"`
	Version   uint16        `json:"version"` // 1, plus one for each time it was rated again
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
	Origin    int           `json:"origin"` // exchange whose group it came over; -1 for a subscriber
	Dest      int           `json:"dest"`
	Transit   bool          `json:"transit,omitempty"`
	Width     int           `json:"width"`
	Offered   time.Time     `json:"offered"`
	Answered  time.Time     `json:"answered,omitzero"`
	Ended     time.Time     `json:"ended"`
	LastSeen  time.Time     `json:"seen,omitzero"` // with EndedByRecovery: when the call was last known to stand
	SetUp     time.Duration `json:"setup_ns"`
	Duration  time.Duration `json:"length_ns"`
	ClockStep time.Duration `json:"stepped_ns,omitempty"`
	Attempts  []Attempt     `json:"attempts,omitempty"`
	Charge    Charge        `json:"charge"`
}

// Charge is the price of a call.
type Charge struct {
	Tariff   string        `json:"tariff,omitempty"` // name and version of the tariff; empty if unrated
	Amount   string        `json:"amount,omitempty"` // decimal with the currency's number of places
	Currency string        `json:"currency,omitempty"`
	Billed   time.Duration `json:"billed_ns,omitempty"`
	Note     string        `json:"note,omitempty"` // free, emergency, not answered, or why the call is unrated
}

// Rated reports whether the call was rated by a tariff.
func (c Charge) Rated() bool { return c.Tariff != "" }

// Equal reports whether two charges are equal. Any two unrated charges are.
func (c Charge) Equal(o Charge) bool { return c == o || !c.Rated() && !o.Rated() }
