package exchange

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxPatience is a day: no caller waits longer, and much larger figures would overflow.
const maxPatience = 24 * time.Hour

// Class is one class of call, by its name in the settings.
type Class struct {
	Name     string
	Deadline time.Duration // patience of a set-up that names none
}

// Names are the names of the settings that set-ups refer to; both fronts check against them here.
type Names struct {
	Classes []Class
	Tenants []string
	Pools   []int // pools that a call may name as its first choice; empty: any
}

// maxNumber bounds a number called: much more than any plan of numbers, and little in an office's first line.
const maxNumber = 128

// Fill sets class, tenant and times of a set-up whose last byte came at that time, and checks its number and first
// choice. A patience beyond the class's deadline counts as that: later the call is worth nothing, and what is kept for
// it must have an end. The error says in plain words what is invalid: that must not reach an office, which may close the connection
// on what it can't read, under all other set-ups. A tenant may be left out, a patience too (nil): then the class's deadline holds.
func (n Names) Apply(s *Setup, class, tenant string, patienceMS *int64, at time.Time) error {
	k := slices.IndexFunc(n.Classes, func(c Class) bool { return c.Name == class })
	if k < 0 {
		return fmt.Errorf("unknown class %q", class)
	}
	if tenant != "" && !slices.Contains(n.Tenants, tenant) {
		return fmt.Errorf("unknown tenant %q", tenant)
	}
	if len(s.Number) > maxNumber || strings.ContainsFunc(s.Number, func(c rune) bool { return c <= ' ' || c > '~' || c == '@' }) {
		return errors.New("number is too long, or no visible ASCII")
	}
	if s.Dest != -1 && (s.Dest < 0 || len(n.Pools) > 0 && !slices.Contains(n.Pools, s.Dest)) {
		return fmt.Errorf("first choice %d is no pool", s.Dest)
	}
	patience := n.Classes[k].Deadline
	if patienceMS != nil {
		if *patienceMS <= 0 || *patienceMS > maxPatience.Milliseconds() {
			return errors.New("patience is no time between 1 ms and a day")
		}
		patience = min(time.Duration(*patienceMS)*time.Millisecond, patience)
	}
	s.Class, s.Name, s.Tenant, s.Taken, s.ExpiresAt = k, class, tenant, at, at.Add(patience)
	return nil
}
