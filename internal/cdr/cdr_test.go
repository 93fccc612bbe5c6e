package cdr

import (
	"errors"
	"math/big"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func amount(t testing.TB, s string) *big.Rat {
	t.Helper()
	r, err := ParseAmount(s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func zone(t testing.TB, name string) *time.Location {
	t.Helper()
	z, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

// anyRecord generates records with arbitrary values.
func anyRecord() *rapid.Generator[Record] {
	text := rapid.StringN(0, 20, 40)
	when := rapid.Custom(func(t *rapid.T) time.Time {
		if rapid.Bool().Draw(t, "none") {
			return time.Time{}
		}
		return time.Unix(0, rapid.Int64Range(-1e18, 4e18).Draw(t, "ns")).UTC()
	})
	return rapid.Custom(func(t *rapid.T) Record {
		r := Record{ID: ID{rapid.Uint32().Draw(t, "router"), rapid.Uint32().Draw(t, "life"), rapid.Uint64().Draw(t, "call")},
			Version: rapid.Uint16().Draw(t, "version"), End: End(rapid.Byte().Draw(t, "end")), Cause: rapid.Byte().Draw(t, "cause"),
			EndSource: EndSource(rapid.Byte().Draw(t, "known")), Class: text.Draw(t, "class"), Tenant: text.Draw(t, "tenant"),
			Called: text.Draw(t, "called"), Calling: text.Draw(t, "calling"), User: text.Draw(t, "user"), Context: text.Draw(t, "context"),
			Front: text.Draw(t, "front"), Circuit: rapid.Int().Draw(t, "circuit"), Origin: rapid.Int().Draw(t, "origin"),
			Dest: rapid.Int().Draw(t, "dest"), Transit: rapid.Bool().Draw(t, "transit"), Width: rapid.Int().Draw(t, "width"),
			Offered: when.Draw(t, "offered"), Answered: when.Draw(t, "answered"), Ended: when.Draw(t, "ended"), LastSeen: when.Draw(t, "seen"),
			SetUp: time.Duration(rapid.Int64().Draw(t, "setup")), Duration: time.Duration(rapid.Int64().Draw(t, "length")),
			ClockStep: time.Duration(rapid.Int64().Draw(t, "stepped")),
			Charge:    Charge{text.Draw(t, "tariff"), text.Draw(t, "amount"), text.Draw(t, "currency"), time.Duration(rapid.Int64().Draw(t, "billed")), text.Draw(t, "note")}}
		for range rapid.IntRange(0, 3).Draw(t, "attempts") {
			r.Attempts = append(r.Attempts, Attempt{rapid.Int().Draw(t, "to"), rapid.Bool().Draw(t, "tandem"), text.Draw(t, "by"),
				rapid.Int().Draw(t, "cic"), time.Duration(rapid.Int64().Draw(t, "after")), time.Duration(rapid.Int64().Draw(t, "took")),
				text.Draw(t, "outcome"), rapid.Byte().Draw(t, "why")})
		}
		return r
	})
}

// Every record must decode to itself. With a bit flipped, or truncated at any byte, it must not decode.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := anyRecord().Draw(t, "record")
		b := r.Encode(nil)
		got, err := Decode(b)
		if err != nil || !cmp.Equal(*got, r) {
			t.Fatalf("%v: %s", err, cmp.Diff(*got, r))
		}
		if cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut"); cut < len(b) {
			if _, err := Decode(b[:cut]); err == nil {
				t.Fatalf("record truncated to %d of %d bytes was decoded", cut, len(b))
			}
		}
		bit := rapid.IntRange(0, 8*len(b)-1).Draw(t, "bit")
		b[bit/8] ^= 1 << (bit % 8)
		if _, err := Decode(b); !errors.Is(err, ErrChecksum) {
			t.Fatalf("bit %d flipped: %v", bit, err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	r := Record{ID: ID{1, 2, 3}, Class: "status", Attempts: []Attempt{{Exchange: 1}}}
	f.Add(r.Encode(nil))
	f.Add([]byte{layoutVersion, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		if again, err := Decode(r.Encode(nil)); err != nil || !cmp.Equal(again, r) {
			t.Fatalf("decoded record differs after encoding and decoding again: %v", err)
		}
	})
}

func TestID(t *testing.T) {
	id := ID{3, 17, 4711}
	if got, err := ParseID(id.String()); err != nil || got != id {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "1-2", "1-2-3-4", "a-2-3", "1--3", "4294967296-1-1", "1-2-x"} {
		if _, err := ParseID(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// The wall clock is set during a call. Times of day must be what it showed then, and durations must not change.
func TestClockSet(t *testing.T) {
	base := time.Date(2026, 12, 1, 23, 59, 0, 0, time.UTC)
	for _, step := range []time.Duration{time.Hour, -time.Hour, -49 * time.Millisecond, 0} {
		var c Clock
		c.Observe(0, base)
		c.Observe(10*time.Second, base.Add(10*time.Second))
		c.Observe(20*time.Second, base.Add(20*time.Second+step))
		if got := c.At(5 * time.Second); !got.Equal(base.Add(5 * time.Second)) {
			t.Errorf("step %v: time before it is %v", step, got)
		}
		want := step
		if step > -minClockStep && step < minClockStep {
			want = 0
		}
		if got := c.Step(5*time.Second, 25*time.Second); got != want {
			t.Errorf("step %v: got %v", step, got)
		}
	}
	var c Clock
	for i := range 10 * maxClockSteps {
		c.Observe(time.Duration(i)*time.Second, base.Add(time.Duration(i%2)*time.Hour))
	}
	if len(c.steps) > maxClockSteps {
		t.Errorf("%d steps stored", len(c.steps))
	}
}

// testTariffs returns tariffs of 0.12 a minute by day and 0.06 at night and at weekends; alarms are free. From 2027 on,
// prices are doubled.
func testTariffs(t testing.TB) *Tariffs {
	days := []time.Weekday{time.Monday, time.Tuesday, time.Wednesday, time.Thursday, time.Friday}
	year := func(name string, from time.Time, day, night string) Tariff {
		return Tariff{Name: name, Version: 1, From: from, Rates: []Rate{
			{Classes: []string{"alarm"}, Emergency: true},
			{Classes: []string{"gratis"}, Free: true},
			{Classes: []string{"fee"}, SetUp: amount(t, "0.05"), PerMinute: amount(t, "0.12"), Minimum: 30 * time.Second, Step: 6 * time.Second},
			{Classes: []string{"night"}, Days: []time.Weekday{time.Friday}, StartMinute: 22 * 60, EndMinute: 6 * 60, PerMinute: amount(t, "1")},
			{Classes: []string{"day", "status"}, Days: days, StartMinute: 8 * 60, EndMinute: 18 * 60, PerMinute: amount(t, day)},
			{Classes: []string{"status"}, PerMinute: amount(t, night)}}}
	}
	z := zone(t, "Australia/Sydney")
	return &Tariffs{Currency: "AUD", Decimals: 4, Zone: z, Versions: []Tariff{year("2026", time.Date(2026, 1, 1, 0, 0, 0, 0, z), "0.12", "0.06"),
		year("2027", time.Date(2027, 1, 1, 0, 0, 0, 0, z), "0.24", "0.12")}}
}

func TestRate(t *testing.T) {
	tariffs := testTariffs(t)
	at := func(s string) time.Time {
		x, err := time.ParseInLocation("2006-01-02 15:04:05", s, tariffs.Zone)
		if err != nil {
			t.Fatal(err)
		}
		return x
	}
	for _, c := range []struct {
		name, class, from string
		length            time.Duration
		width             int
		want, note        string
	}{
		{"by day", "status", "2026-12-01 10:00:00", time.Minute, 1, "0.1200", ""},
		{"by night", "status", "2026-12-01 20:00:00", time.Minute, 1, "0.0600", ""},
		{"at the weekend", "status", "2026-12-05 10:00:00", time.Minute, 1, "0.0600", ""},
		{"from day into evening", "status", "2026-12-01 17:59:30", time.Minute, 1, "0.0900", ""},
		{"from night into day", "status", "2026-12-01 07:59:30", 90 * time.Second, 1, "0.1500", ""},
		{"over midnight into the weekend", "status", "2026-12-04 23:59:00", 2 * time.Minute, 1, "0.1200", ""},
		{"over a change of tariff", "status", "2026-12-31 23:59:00", 2 * time.Minute, 1, "0.1800", ""},
		{"four circuits wide", "status", "2026-12-01 10:00:00", time.Minute, 4, "0.4800", ""},
		{"a third of a cent", "status", "2026-12-01 10:00:00", time.Second, 1, "0.0020", ""},
		{"rounded half up", "status", "2026-12-01 20:00:00", 50 * time.Millisecond, 1, "0.0001", ""},
		{"minimum and fee", "fee", "2026-12-01 10:00:00", time.Second, 1, "0.1100", ""},
		{"step and fee", "fee", "2026-12-01 10:00:00", 31 * time.Second, 1, "0.1220", ""},
		{"of zero duration", "fee", "2026-12-01 10:00:00", 0, 1, "0.1100", ""},
		{"of zero duration, no minimum", "status", "2026-12-01 10:00:00", 0, 1, "0.0000", ""},
		{"alarm", "alarm", "2026-12-01 10:00:00", time.Hour, 1, "0.0000", NoteEmergency},
		{"free", "gratis", "2026-12-01 10:00:00", time.Hour, 1, "0.0000", NoteFree},
		{"friday night", "night", "2026-12-05 05:00:00", time.Minute, 1, "1.0000", ""},
		{"not thursday night", "night", "2026-12-04 05:00:00", time.Minute, 1, "", NoteNoRate},
		{"no rate in the last part", "day", "2026-12-01 17:59:00", 2 * time.Minute, 1, "", NoteNoRate},
		{"of an unknown class", "other", "2026-12-01 10:00:00", time.Minute, 1, "", NoteNoRate},
		{"before any tariff", "status", "2025-12-31 23:59:59", time.Minute, 1, "", NoteNoTariff},
		// The clocks go from 3:00 back to 2:00 on 5 April 2026, and from 2:00 to 3:00 on 4 October. Durations must
		// not follow local time.
		{"through the hour that occurs twice", "status", "2026-04-05 01:30:00", 3 * time.Hour, 1, "10.8000", ""},
		{"through the hour that is missing", "status", "2026-10-04 01:30:00", 2 * time.Hour, 1, "7.2000", ""},
		{"friday night without clock change", "night", "2026-10-02 22:00:00", 8 * time.Hour, 1, "480.0000", ""},
	} {
		r := &Record{Class: c.class, Width: c.width, Offered: at(c.from), Answered: at(c.from), Duration: c.length}
		got := tariffs.Rate(r)
		if got.Amount != c.want || got.Note != c.note || got.Rated() != (c.want != "") {
			t.Errorf("%s: %+v, want %q %q", c.name, got, c.want, c.note)
		}
	}
	if got := tariffs.Rate(&Record{Class: "status", Offered: at("2026-12-01 10:00:00")}); got.Amount != "0.0000" || got.Note != NoteNotAnswered ||
		got.Tariff != "2026/1" {
		t.Errorf("not answered: %+v", got)
	}
}

// Splitting a call in two at any moment must change nothing but the rounding of the parts.
func TestRateAddsUp(t *testing.T) {
	tariffs := testTariffs(t)
	tariffs.Decimals = 12
	rapid.Check(t, func(t *rapid.T) {
		from := time.Unix(rapid.Int64Range(1767186000, 1830258000).Draw(t, "from"), 0)
		length := time.Duration(rapid.Int64Range(2, 3*86400).Draw(t, "s")) * time.Second
		cut := time.Duration(rapid.Int64Range(1, int64(length/time.Second)-1).Draw(t, "cut")) * time.Second
		cost := func(at time.Time, d time.Duration) *big.Rat {
			c := tariffs.Rate(&Record{Class: "status", Width: 1, Answered: at, Duration: d})
			r, ok := new(big.Rat).SetString(c.Amount)
			if !ok {
				t.Fatalf("%+v", c)
			}
			return r
		}
		whole := cost(from, length)
		parts := new(big.Rat).Add(cost(from, cut), cost(from.Add(cut), length-cut))
		if d := parts.Sub(parts, whole); d.Abs(d).Cmp(big.NewRat(1, 1e11)) > 0 {
			t.Fatalf("parts differ by %v", d)
		}
	})
}

func TestAmountsAndHours(t *testing.T) {
	for _, bad := range []string{"", "-1", "1e9", "1,5", "1.", ".5", "1/3", "0x1", "+1"} {
		if _, err := ParseAmount(bad); err == nil {
			t.Errorf("amount %q was accepted", bad)
		}
	}
	for _, bad := range []string{"", "8-18", "08:00", "08:00-25:00", "08:60-09:00", "09:00-09:00", "08:00-18:00-20:00"} {
		if _, _, err := ParseHours(bad); err == nil {
			t.Errorf("hours %q were accepted", bad)
		}
	}
	if from, to, err := ParseHours("22:00-24:00"); err != nil || from != 22*60 || to != 0 {
		t.Errorf("%d %d %v", from, to, err)
	}
}

func BenchmarkEncode(b *testing.B) {
	r := Record{ID: ID{1, 2, 3}, Class: "status-check", Called: "1000123", Calling: "100000123", Front: "iax2", Origin: -1, Dest: 1, Width: 1,
		Offered: time.Unix(1e9, 0), Answered: time.Unix(1e9, 5e7), Ended: time.Unix(1e9+12, 0), Attempts: []Attempt{{Exchange: 1, Front: "iax2", Outcome: "completed"}}}
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf = r.Encode(buf[:0])
	}
	b.ReportMetric(float64(len(buf)), "bytes/record")
}

func BenchmarkRate(b *testing.B) {
	tariffs := testTariffs(b)
	r := &Record{Class: "status", Width: 1, Answered: time.Date(2026, 12, 1, 2, 0, 0, 0, time.UTC), Duration: 12 * time.Second}
	b.ReportAllocs()
	for b.Loop() {
		tariffs.Rate(r)
	}
}
