package call

import (
	"fmt"
	"hash/fnv"
	"strconv"
)

// Plan is the numbering plan: it maps a call's dialled number, user and context to its class, tenant and
// destination. For class and tenant an entry for the user takes precedence, then one for the context, then the
// longest matching prefix of the called number, then the default.
type Plan struct {
	destPrefixes, classPrefixes, tenantPrefixes prefixTrie
	classByUser, classByContext                 map[string]int
	tenantByUser, tenantByContext               map[string]int
	DefaultClass                                int
	DefaultTenant                               int
}

// NewPlan returns an empty plan.
func NewPlan() *Plan {
	return &Plan{classByUser: map[string]int{}, classByContext: map[string]int{}, tenantByUser: map[string]int{},
		tenantByContext: map[string]int{}}
}

// prefixTrie maps prefixes of dialled numbers (digits, star and hash) to values.
type prefixTrie struct {
	root prefixNode
}

type prefixNode struct {
	next  *[12]*prefixNode
	value int
	set   bool
}

// digitIndex returns the trie index of a dialled character, or -1 if it cannot be dialled.
func digitIndex(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c == '*':
		return 10
	case c == '#':
		return 11
	}
	return -1
}

// add sets the value of a prefix. It returns an error if the prefix contains a character that cannot be
// dialled, or already has a value.
func (p *prefixTrie) add(prefix string, value int) error {
	n := &p.root
	for i := range len(prefix) {
		d := digitIndex(prefix[i])
		if d < 0 {
			return fmt.Errorf("prefix %q: %q cannot be dialled", prefix, prefix[i])
		}
		if n.next == nil {
			n.next = new([12]*prefixNode)
		}
		if n.next[d] == nil {
			n.next[d] = &prefixNode{}
		}
		n = n.next[d]
	}
	if n.set {
		return fmt.Errorf("prefix %q is given twice", prefix)
	}
	n.value, n.set = value, true
	return nil
}

// longestMatch returns the value of the longest prefix that matches a number; ok is false if none does.
func (p *prefixTrie) longestMatch(number string) (value int, ok bool) {
	n := &p.root
	for i := 0; ; i++ {
		if n.set {
			value, ok = n.value, true
		}
		if i == len(number) || n.next == nil {
			return value, ok
		}
		d := digitIndex(number[i])
		if d < 0 || n.next[d] == nil {
			return value, ok
		}
		n = n.next[d]
	}
}

// AddDest routes numbers with a prefix to an exchange.
func (p *Plan) AddDest(prefix string, exchange int) error {
	return p.destPrefixes.add(prefix, exchange)
}

// AddClassPrefix assigns a class to calls to numbers with a prefix.
func (p *Plan) AddClassPrefix(prefix string, class int) error {
	return p.classPrefixes.add(prefix, class)
}

// AddTenantPrefix assigns a tenant to calls to numbers with a prefix.
func (p *Plan) AddTenantPrefix(prefix string, tenant int) error {
	return p.tenantPrefixes.add(prefix, tenant)
}

// PlanKey is the property of a request that an entry of the plan matches, where it is not a prefix.
type PlanKey uint8

// Kinds of PlanKey.
const (
	KeyUser    PlanKey = iota // the caller's user name
	KeyContext                // the context that the call arrived with
)

// AddClass assigns a class to the calls of a user or context.
func (p *Plan) AddClass(by PlanKey, name string, class int) error {
	return addUnique([]map[string]int{p.classByUser, p.classByContext}[by], name, class)
}

// AddTenant assigns a tenant to the calls of a user or context.
func (p *Plan) AddTenant(by PlanKey, name string, tenant int) error {
	return addUnique([]map[string]int{p.tenantByUser, p.tenantByContext}[by], name, tenant)
}

// addUnique adds an entry to a map and returns an error if the name already has one.
func addUnique(m map[string]int, name string, value int) error {
	if _, ok := m[name]; ok {
		return fmt.Errorf("%q is given twice", name)
	}
	m[name] = value
	return nil
}

// Lookup returns the class, tenant and destination of a request; ok is false if no destination prefix matches
// the called number.
func (p *Plan) Lookup(r Request) (class, tenant, dest int, ok bool) {
	dest, ok = p.destPrefixes.longestMatch(r.Called)
	return lookupValue(p.classByUser, p.classByContext, &p.classPrefixes, p.DefaultClass, r),
		lookupValue(p.tenantByUser, p.tenantByContext, &p.tenantPrefixes, p.DefaultTenant, r), dest, ok
}

// lookupValue returns the value of the entry with the highest precedence, or fallback if none matches.
func lookupValue(byUser, byContext map[string]int, byPrefix *prefixTrie, fallback int, r Request) int {
	if v, ok := byUser[r.User]; ok && r.User != "" {
		return v
	}
	if v, ok := byContext[r.Context]; ok {
		return v
	}
	if v, ok := byPrefix.longestMatch(r.Called); ok {
		return v
	}
	return fallback
}

// calledNumberKey returns the key under which the controller counts calls to a number: the number with a leading 1,
// which preserves leading zeros, or a hash if it is not decimal or too long.
func calledNumberKey(called string) uint64 {
	if n, err := strconv.ParseUint("1"+called, 10, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(called))
	return h.Sum64()
}
