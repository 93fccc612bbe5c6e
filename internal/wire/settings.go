package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"pipitring/decide"
)

// Setup is what a Hello's settings text says, in the module's terms.
type Setup struct {
	Settings decide.Settings
	Fields   []string // names of a load report's values
	Classes  []string // names, as callers on sockets give them
	Zones    []string
	Tenants  []string // names, as callers on sockets give them

	ConnectTimeout time.Duration // a connection that is not up after this is given up
	MaxOpen        int           // calls that an instance may hold open; 0 is no limit
}

type settingsText struct {
	Clients struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	Contract struct {
		ColdFrom     float64 `json:"coldFrom"`
		ColdS        float64 `json:"coldS"`
		FallMultiple float64 `json:"fallMultiple"`
		MustAskInS   float64 `json:"mustAskInS"`
	} `json:"contract"`
	Discovery      string   `json:"discovery"`
	FailureDomains []string `json:"failureDomains"`
	FamilyInfo     struct {
		ClassCells    [][]int   `json:"classCells"`
		HoldingS      []float64 `json:"holdingS"`
		Widths        []float64 `json:"widths"`
		SelfNo        *int      `json:"selfNo"`
		ReleaseGuardS float64   `json:"releaseGuardS"`
		ResendS       float64   `json:"resendS"`
		Shape         string    `json:"shape"`
	} `json:"familyInfo"`
	Limits struct {
		RetryAfter      bool    `json:"retryAfter"`
		MaxAttempts     int     `json:"maxAttempts"`
		MaxOpen         int     `json:"maxOpen"`
		MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
		ConnectTimeoutS float64 `json:"connectTimeoutS"`
	} `json:"limits"`
	OverShareWorth float64 `json:"overShareWorth"`
	PeersTotal     int     `json:"peersTotal"`
	Profiles       []struct {
		AimS      float64 `json:"aimS"`
		DeadlineS float64 `json:"deadlineS"`
		LateValue float64 `json:"lateValue"`
		Value     float64 `json:"value"`
		WindowS   float64 `json:"windowS"`
		KeyScope  string  `json:"keyScope"`
		Name      string  `json:"name"`
		Repeat    string  `json:"repeat"`
	} `json:"profiles"`
	Realms []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"realms"`
	Telemetry struct {
		Fields []string `json:"fields"`
	} `json:"telemetry"`
}

// ParseSettings reads a settings text. Unknown keys are ignored; absent ones are zero, one circuit wide
// (widths), safe (repeat), and one attempt (maxAttempts).
func ParseSettings(text []byte) (Setup, error) {
	var t settingsText
	if err := json.Unmarshal(text, &t); err != nil {
		return Setup{}, fmt.Errorf("settings: %w", err)
	}
	s := decide.Settings{
		Own: decide.Unknown, Pools: t.FamilyInfo.Shape == "skills", Proxies: t.PeersTotal, ClassPools: t.FamilyInfo.ClassCells,
		OverShareWorth: t.OverShareWorth, MaxAttempts: max(t.Limits.MaxAttempts, 1),
		RetryAfter: t.Limits.RetryAfter, Subscribe: t.Discovery == "subscribe",
		MarksRedial: t.Clients.MarksRetry, MaxStayAway: Seconds(t.Limits.MaxRetryAfterS),
		ReleaseGuard: Seconds(t.FamilyInfo.ReleaseGuardS), ResendAfter: Seconds(t.FamilyInfo.ResendS),
		MustAskIn: Seconds(t.Contract.MustAskInS), ColdFrom: t.Contract.ColdFrom,
		ColdFor: Seconds(t.Contract.ColdS), FallMultiple: t.Contract.FallMultiple,
	}
	if t.FamilyInfo.SelfNo != nil {
		s.Own = *t.FamilyInfo.SelfNo
	}
	if len(t.FamilyInfo.HoldingS) != len(t.Profiles) {
		return Setup{}, fmt.Errorf("settings: familyInfo.holdingS has %d values for %d classes",
			len(t.FamilyInfo.HoldingS), len(t.Profiles))
	}
	var names, tenants []string
	for i, p := range t.Profiles {
		c := decide.Class{
			Hold: Seconds(t.FamilyInfo.HoldingS[i]), Width: 1, Aim: Seconds(p.AimS),
			Deadline: Seconds(p.DeadlineS), Worth: p.Value, LateWorth: p.LateValue, Window: Seconds(p.WindowS),
		}
		if i < len(t.FamilyInfo.Widths) {
			c.Width = Whole(t.FamilyInfo.Widths[i])
		}
		c.Repeat = map[string]decide.Repeat{"keyed": decide.RepeatKeyed, "unsafe": decide.RepeatUnsafe}[p.Repeat]
		c.Scope = map[string]decide.KeyScope{"zone": decide.ScopeZone, "cell": decide.ScopeExchange}[p.KeyScope]
		s.Classes = append(s.Classes, c)
		names = append(names, p.Name)
	}
	for _, r := range t.Realms {
		s.Tenants = append(s.Tenants, decide.Tenant{Quota: r.QuotaPerS})
		tenants = append(tenants, r.Name)
	}
	if err := s.Validate(); err != nil {
		return Setup{}, fmt.Errorf("settings: %w", err)
	}
	return Setup{Settings: s, Fields: t.Telemetry.Fields, Classes: names, Zones: t.FailureDomains, Tenants: tenants,
		ConnectTimeout: Seconds(t.Limits.ConnectTimeoutS), MaxOpen: t.Limits.MaxOpen}, nil
}

// Seconds turns the wire's seconds into a duration of whole microseconds; out of range is cut off.
func Seconds(s float64) time.Duration {
	const limit = 1e9
	if math.IsNaN(s) {
		return 0
	}
	s = math.Max(-limit, math.Min(limit, s))
	return time.Duration(math.Round(s*1e6)) * time.Microsecond
}

// Whole turns a number that should be whole into an int; what is not a number is decide.Unknown.
func Whole(v float64) int {
	if math.IsNaN(v) || math.Abs(v) > 1e9 {
		return decide.Unknown
	}
	return int(math.Round(v))
}

// Report puts the values of a load report under their names; what is absent, negative or NaN is unknown.
func Report(st Stats, names []string) decide.Report {
	r := decide.NoReport
	for i, name := range names {
		if i >= int(st.N) {
			break
		}
		SetField(&r, name, float64(st.V[i]))
	}
	return r
}

// SetField puts one value of a load report under its name. The group's two figures go by either of their names.
func SetField(r *decide.Report, name string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return
	}
	switch name {
	case "idle", "x0":
		r.Free = v
	case "circuits", "x1":
		r.Size = v
	case "util":
		r.Util = v
	case "queue":
		r.Queue = v
	case "latency_ms":
		r.Wait = v / 1000
	case "max_rate":
		r.MaxRate = v
	case "reduce":
		r.HoldBack = v
	}
}
