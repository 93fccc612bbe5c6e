package cdr

import (
	"math/big"
	"time"
)

// Notes of charges.
const (
	NoteNotAnswered = "not answered"
	NoteFree        = "free"
	NoteEmergency   = "emergency"
	NoteNoTariff    = "no tariff was in force"
	NoteNoRate      = "no rate of the tariff is for this call"
)

// maxSegments bounds the changes of rate within one call: a call of years, by a clock gone wrong, is not walked through.
const maxSegments = 10_000

// Rate says what a call costs. The set-up fee, the minimum and the step are those in force at the answer; each part of
// the length is charged by what was in force during it, and what minimum and step add by what was at the end. A call
// that was never answered costs nothing. A call any part of which no rate is for is unrated as a whole.
func (t *Tariffs) Rate(r *Record) Charge {
	if r.Answered.IsZero() {
		v, _ := t.at(r, r.Offered)
		if v == nil {
			return Charge{Note: NoteNoTariff}
		}
		return Charge{Tariff: v.ID(), Amount: t.amount(new(big.Rat)), Currency: t.Currency, Note: NoteNotAnswered}
	}
	v, first := t.at(r, r.Answered)
	switch {
	case v == nil:
		return Charge{Note: NoteNoTariff}
	case first == nil:
		return Charge{Note: NoteNoRate}
	}
	c := Charge{Tariff: v.ID(), Currency: t.Currency, Billed: billed(first, r.Duration)}
	switch {
	case first.Emergency:
		c.Note, c.Billed = NoteEmergency, 0
	case first.Free:
		c.Note, c.Billed = NoteFree, 0
	}
	sum := new(big.Rat)
	if first.SetUp != nil && c.Note == "" {
		sum.Set(first.SetUp)
	}
	if c.Note == "" {
		note, ok := t.charge(sum, r, c.Billed)
		if !ok {
			return Charge{Note: note}
		}
	}
	sum.Mul(sum, new(big.Rat).SetInt64(int64(max(1, r.Width))))
	c.Amount = t.amount(sum)
	return c
}

// billed is a length brought to the minimum and up to whole steps.
func billed(rate *Rate, length time.Duration) time.Duration {
	d := max(length, rate.Minimum, 0)
	if s := rate.Step; s > 0 && d%s != 0 {
		d += s - d%s
	}
	return d
}

// charge adds the price of each part of a call.
func (t *Tariffs) charge(sum *big.Rat, r *Record, bill time.Duration) (note string, ok bool) {
	at, left := r.Answered, bill
	length := r.Duration
	for range maxSegments {
		v, rate := t.at(r, at)
		switch {
		case v == nil:
			return NoteNoTariff, false
		case rate == nil:
			return NoteNoRate, false
		}
		part := left
		if until := t.nextChange(v, at).Sub(at); until < length {
			part, length = min(until, left), length-until
		} else {
			length = 0 // the rest of the length, and what minimum and step add
		}
		if rate.PerMinute != nil && !rate.Free && !rate.Emergency {
			x := new(big.Rat).SetFrac64(int64(part), int64(time.Minute))
			sum.Add(sum, x.Mul(x, rate.PerMinute))
		}
		if left -= part; left <= 0 || length <= 0 {
			return "", true
		}
		at = at.Add(part)
	}
	return "more changes of rate than a call can have", false
}

// amount writes a sum to the currency's places, half up.
func (t *Tariffs) amount(sum *big.Rat) string { return sum.FloatString(t.Places) }
