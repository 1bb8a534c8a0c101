package exchange

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"masthill/control"
)

// maxPatience bounds the patience that a set-up may specify: no caller waits longer than a day, and much larger figures
// would overflow.
const maxPatience = 24 * time.Hour

// Class is a class of call as the settings name it.
type Class struct {
	Name     string
	Deadline time.Duration // patience of a set-up that names none, and the greatest patience
	Effect   control.Effect
}

// Names holds the names in the settings that set-ups refer to. Both front ends check set-ups against them.
type Names struct {
	Classes []Class
	Tenants []string
	Pools   []int // that a call may prefer; empty: any
}

// maxNumberLength bounds the called number: it is well above any numbering plan, and short in the request line to an
// office.
const maxNumberLength = 128

// Apply sets the class, tenant and times of a set-up whose last byte was received at that time, and checks its number
// and preferred pool. A patience beyond the class's deadline is reduced to it: later the call has no value, and what is
// kept for it must be freed. An invalid set-up must not reach an office, which may close the connection over input that
// it can't parse, with all other set-ups on it. The tenant may be empty. A nil patience means the class's deadline. The
// error says what is invalid; its text is sent to WebSocket callers.
func (n Names) Apply(s *Setup, class, tenant string, patienceMS *int64, at time.Time) error {
	k := slices.IndexFunc(n.Classes, func(c Class) bool { return c.Name == class })
	if k < 0 {
		return fmt.Errorf("unknown class %q", shortened(class))
	}
	if tenant != "" && !slices.Contains(n.Tenants, tenant) {
		return fmt.Errorf("unknown tenant %q", shortened(tenant))
	}
	if len(s.Number) > maxNumberLength || strings.ContainsFunc(s.Number, func(c rune) bool { return c <= ' ' || c > '~' || c == '@' }) {
		return errors.New("number is too long, or no visible ASCII")
	}
	if s.FirstChoice != -1 && (s.FirstChoice < 0 || len(n.Pools) > 0 && !slices.Contains(n.Pools, s.FirstChoice)) {
		return fmt.Errorf("first choice %d is no pool", s.FirstChoice)
	}
	patience := n.Classes[k].Deadline
	if patienceMS != nil {
		if *patienceMS <= 0 || *patienceMS > maxPatience.Milliseconds() {
			return errors.New("patience is no time between 1 ms and a day")
		}
		patience = min(time.Duration(*patienceMS)*time.Millisecond, patience)
	}
	s.Class, s.ClassName, s.Tenant, s.ReceivedAt, s.ExpiresAt = k, class, tenant, at, at.Add(patience)
	return nil
}

// maxQuoted limits how much of an unknown name is quoted in an error, in bytes.
const maxQuoted = 64

// shortened returns the start of a name that a caller has sent.
func shortened(name string) string {
	if len(name) <= maxQuoted {
		return name
	}
	return name[:maxQuoted] + "..."
}
