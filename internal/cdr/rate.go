package cdr

import (
	"math/big"
	"time"
)

// Notes of charges. They are stored in records.
const (
	// NoteNotAnswered is for calls that cost nothing because they were never answered.
	NoteNotAnswered = "not answered"
	// NoteFree is for calls with a free rate.
	NoteFree = "free"
	// NoteEmergency is for emergency calls, which are free.
	NoteEmergency = "emergency"
	// NoteNoTariff is for unrated calls at a time without tariff.
	NoteNoTariff = "no tariff was in force"
	// NoteNoRate is for unrated calls that no rate of the tariff applies to.
	NoteNoRate = "no rate of the tariff is for this call"
)

// maxSegments is the highest number of parts with different rates in one call. It bounds the time to rate a call that
// seems to last for years because the clock was wrong.
const maxSegments = 10_000

// Rate returns the charge of a call. Set-up fee, minimum and step are those in force at the answer. Each part of the
// duration is charged at the rate in force during it; the time that the minimum and the step add is charged at the last of
// them. A call that was never answered costs nothing. If no rate applies to a part of a call, the whole call is unrated.
func (t *Tariffs) Rate(r *Record) Charge {
	if r.Answered.IsZero() {
		v, _ := t.lookup(r, r.Offered)
		if v == nil {
			return Charge{Note: NoteNoTariff}
		}
		return Charge{Tariff: v.ID(), Amount: t.formatAmount(new(big.Rat)), Currency: t.Currency, Note: NoteNotAnswered}
	}
	v, first := t.lookup(r, r.Answered)
	switch {
	case v == nil:
		return Charge{Note: NoteNoTariff}
	case first == nil:
		return Charge{Note: NoteNoRate}
	}
	c := Charge{Tariff: v.ID(), Currency: t.Currency, Billed: billedDuration(first, r.Duration)}
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
		note, ok := t.addCharges(sum, r, c.Billed)
		if !ok {
			return Charge{Note: note}
		}
	}
	sum.Mul(sum, new(big.Rat).SetInt64(int64(max(1, r.Width))))
	c.Amount = t.formatAmount(sum)
	return c
}

// billedDuration raises a duration to the minimum and rounds it up to whole steps.
func billedDuration(rate *Rate, length time.Duration) time.Duration {
	d := max(length, rate.Minimum, 0)
	if s := rate.Step; s > 0 && d%s != 0 {
		d += s - d%s
	}
	return d
}

// addCharges adds the price of each part of a call to sum. billed is the billed duration, which may exceed that of the
// call. If a part has no rate, ok is false and note says why the call is unrated.
func (t *Tariffs) addCharges(sum *big.Rat, r *Record, billed time.Duration) (note string, ok bool) {
	at, left := r.Answered, billed
	length := r.Duration
	for range maxSegments {
		v, rate := t.lookup(r, at)
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
			length = 0 // the last part: the rest of the call, and the time that the minimum and the step add
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

// formatAmount formats a sum with the currency's decimals, rounded half up.
func (t *Tariffs) formatAmount(sum *big.Rat) string { return sum.FloatString(t.Decimals) }
