package call

import (
	"fmt"
	"hash/fnv"
	"strconv"
)

// Plan tells a call's class, tenant and destination from what was dialled and by whom. A user's own entry goes
// before a context's, a context's before the longest prefix of the called number, and that before the default.
type Plan struct {
	dest, class, tenant       prefixes
	classByUser, classByCtx   map[string]int
	tenantByUser, tenantByCtx map[string]int
	DefaultClass              int
	DefaultTenant             int
}

// NewPlan returns a plan that knows no number.
func NewPlan() *Plan {
	return &Plan{classByUser: map[string]int{}, classByCtx: map[string]int{}, tenantByUser: map[string]int{},
		tenantByCtx: map[string]int{}}
}

// prefixes is a trie over the characters of dialled numbers: digits, star and hash.
type prefixes struct {
	root prefixNode
}

type prefixNode struct {
	next  *[12]*prefixNode
	value int
	set   bool
}

func dialled(c byte) int {
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

// add sets the value of a prefix; it fails where the prefix has one already.
func (p *prefixes) add(prefix string, value int) error {
	n := &p.root
	for i := range len(prefix) {
		d := dialled(prefix[i])
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

// longest finds the value of the longest prefix of a number.
func (p *prefixes) longest(number string) (value int, ok bool) {
	n := &p.root
	for i := 0; ; i++ {
		if n.set {
			value, ok = n.value, true
		}
		if i == len(number) || n.next == nil {
			return value, ok
		}
		d := dialled(number[i])
		if d < 0 || n.next[d] == nil {
			return value, ok
		}
		n = n.next[d]
	}
}

// AddDest routes numbers with a prefix to an exchange.
func (p *Plan) AddDest(prefix string, exchange int) error { return p.dest.add(prefix, exchange) }

// AddClassPrefix gives calls to numbers with a prefix a class.
func (p *Plan) AddClassPrefix(prefix string, class int) error { return p.class.add(prefix, class) }

// AddTenantPrefix gives calls to numbers with a prefix a tenant.
func (p *Plan) AddTenantPrefix(prefix string, tenant int) error { return p.tenant.add(prefix, tenant) }

// PlanKey tells whether an entry names a user or a context.
type PlanKey uint8

// What an entry can name.
const (
	KeyUser PlanKey = iota
	KeyContext
)

// AddClass gives the calls of a user or a context a class.
func (p *Plan) AddClass(by PlanKey, name string, class int) error {
	return addName([]map[string]int{p.classByUser, p.classByCtx}[by], name, class)
}

// AddTenant gives the calls of a user or a context a tenant.
func (p *Plan) AddTenant(by PlanKey, name string, tenant int) error {
	return addName([]map[string]int{p.tenantByUser, p.tenantByCtx}[by], name, tenant)
}

func addName(m map[string]int, name string, value int) error {
	if _, ok := m[name]; ok {
		return fmt.Errorf("%q is given twice", name)
	}
	m[name] = value
	return nil
}

// Lookup tells a request's class, tenant and destination; ok is false where no prefix fits the number.
func (p *Plan) Lookup(r Request) (class, tenant, dest int, ok bool) {
	dest, ok = p.dest.longest(r.Called)
	return look(p.classByUser, p.classByCtx, &p.class, p.DefaultClass, r),
		look(p.tenantByUser, p.tenantByCtx, &p.tenant, p.DefaultTenant, r), dest, ok
}

func look(byUser, byCtx map[string]int, byPrefix *prefixes, otherwise int, r Request) int {
	if v, ok := byUser[r.User]; ok && r.User != "" {
		return v
	}
	if v, ok := byCtx[r.Context]; ok {
		return v
	}
	if v, ok := byPrefix.longest(r.Called); ok {
		return v
	}
	return otherwise
}

// numberKey is a called number as the module counts it.
func numberKey(called string) uint64 {
	if n, err := strconv.ParseUint("1"+called, 10, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(called))
	return h.Sum64()
}
