package pkshare

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// maxDemandPriority is the least urgent priority of a demand.
	maxDemandPriority = 9
	// maxDemand bounds the requests and the tokens of a demand. A larger one is a fault of its
	// sender and would hold back all other requests. Totals stop at it, since receivers would
	// ignore a larger one.
	maxDemand = 1e9
)

// Demand is what waits for room of a pool.
type Demand struct {
	Service pkid.ServiceID `cbor:"1,keyasint"`
	// Priority is from 0, the most urgent, to 9.
	Priority int `cbor:"2,keyasint"`
	Requests int `cbor:"3,keyasint"`
	// Tokens is the length of their prompts and answers.
	Tokens float32 `cbor:"4,keyasint"`
}

// isValid reports whether a demand is counted.
func (d Demand) isValid() bool {
	return d.Service != "" && d.Priority >= 0 && d.Priority <= maxDemandPriority &&
		d.Requests > 0 && d.Requests <= maxDemand && d.Tokens >= 0 && d.Tokens <= maxDemand // false for NaN
}

// Demands returns what waits for room of a pool at all other entries, the most urgent priority
// first.
//
// It addresses bursts that reach entries unevenly while the pool is short of room: each entry would
// order its own requests only, and one with less urgent requests would take the room that more
// urgent ones await elsewhere. Members that have sent nothing are taken to have no demand, unlike
// their loads: without reports the local order applies.
func (t *Table) Demands(now time.Time, s pkid.ServiceID) []Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var total demandLevels
	if global := t.globalSum(now); global != nil {
		total.add(s, global.Demands)
		total.subtract(s, t.lastSent.Demands)
		return total.appendTo(nil, s)
	}
	sums := t.remoteSums(now)
	t.forEachDirect(now, sums, func(p *peer) { total.add(s, p.demands) })
	for _, p := range sums {
		total.add(s, p.sum.Demands)
	}
	return total.appendTo(nil, s)
}

// demandLevels is the demand for a service by priority; the zero value is empty.
type demandLevels [maxDemandPriority + 1]struct {
	requests int
	tokens   float64
}

// add adds the valid ones among demands for a service.
func (l *demandLevels) add(s pkid.ServiceID, demands []Demand) {
	for _, d := range demands {
		if d.Service == s && d.isValid() {
			l[d.Priority].requests += d.Requests
			l[d.Priority].tokens += float64(d.Tokens)
		}
	}
}

// subtract subtracts the valid ones among demands for a service, which the total may not hold yet.
func (l *demandLevels) subtract(s pkid.ServiceID, demands []Demand) {
	for _, d := range demands {
		if d.Service == s && d.isValid() {
			level := &l[d.Priority]
			level.requests = max(level.requests-d.Requests, 0)
			level.tokens = max(level.tokens-float64(d.Tokens), 0)
		}
	}
}

// appendTo appends the totals of the priorities that have waiting requests.
func (l *demandLevels) appendTo(out []Demand, s pkid.ServiceID) []Demand {
	for priority, level := range l {
		if level.requests > 0 {
			out = append(out, Demand{
				Service: s, Priority: priority,
				Requests: min(level.requests, maxDemand), Tokens: float32(min(level.tokens, maxDemand)),
			})
		}
	}
	return out
}

// demandSums adds up the demand for all services.
type demandSums map[pkid.ServiceID]*demandLevels

func (s demandSums) add(demands []Demand) {
	for i, d := range demands {
		if !d.isValid() {
			continue
		}
		if s[d.Service] == nil {
			s[d.Service] = &demandLevels{}
		}
		s[d.Service].add(d.Service, demands[i:i+1])
	}
}

// list returns the totals by service and priority; nil if nothing waits.
func (s demandSums) list() []Demand {
	var out []Demand
	for service, levels := range s {
		out = levels.appendTo(out, service)
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return out
}
