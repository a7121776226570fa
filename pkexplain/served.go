package pkexplain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxServed bounds the accounts and the routes that a summary lists.
const maxServed = 10

// refusedOutcome is the outcome of requests that were refused for lack of room.
const refusedOutcome Cause = "full"

// Served summarizes how the streams of one account or route were served.
type Served struct {
	Name    string
	Streams int
	// InTime and Late are answered streams, Refused those refused for lack of room. The others broke off, or
	// their callers left.
	InTime  int
	Late    int
	Refused int
	// MeanWaitMS and P90WaitMS are the mean and the 90th percentile of the waits for room in milliseconds, with
	// the streams that did not wait.
	MeanWaitMS float64
	P90WaitMS  int64
	waits      []int64
}

// inTimeShare returns the share of the streams that were in time.
func (s *Served) inTimeShare() float64 { return float64(s.InTime) / float64(max(s.Streams, 1)) }

func (s *Served) add(one stream) {
	s.Streams++
	switch {
	case one.cause == InTime:
		s.InTime++
	case one.answered:
		s.Late++
	case one.cause == refusedOutcome:
		s.Refused++
	}
	s.waits = append(s.waits, one.waited.Milliseconds())
}

// servedBy summarizes streams by account or route, those with the smallest share in time first, and of these
// those with the most streams. It returns at most maxServed of them, and how many there are.
func servedBy(streams []stream, name func(stream) string) (worst []Served, count int) {
	groups := map[string]*Served{}
	for _, one := range streams {
		key := name(one)
		if groups[key] == nil {
			groups[key] = &Served{Name: key}
		}
		groups[key].add(one)
	}
	all := slices.SortedFunc(maps.Values(groups), func(a, b *Served) int {
		return cmp.Or(cmp.Compare(a.inTimeShare(), b.inTimeShare()), cmp.Compare(b.Streams, a.Streams), cmp.Compare(a.Name, b.Name))
	})
	for _, one := range all[:min(len(all), maxServed)] {
		one.MeanWaitMS, one.P90WaitMS = meanOf(one.waits), percentile(one.waits, 90)
		worst = append(worst, *one)
	}
	return worst, len(all)
}

func meanOf(all []int64) float64 {
	sum := int64(0)
	for _, n := range all {
		sum += n
	}
	return float64(sum) / float64(max(len(all), 1))
}

// percentile returns the smallest value that at least the given percentage of all values do not exceed; it sorts them.
func percentile(all []int64, percent int) int64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[max((len(all)*percent+99)/100-1, 0)]
}

// writeServed writes a table of accounts or routes.
func writeServed(b io.Writer, title string, all []Served, count int) {
	fmt.Fprintf(b, "\n%s, the worst served first (%d of %d)\nstreams  in time     late  refused  mean wait  90%% waited at most\n", title, len(all), count)
	for _, s := range all {
		wait := time.Duration(s.MeanWaitMS * float64(time.Millisecond)).Round(time.Millisecond)
		fmt.Fprintf(b, "%7d %8d %8d %8d %10s %19s  %s\n", s.Streams, s.InTime, s.Late, s.Refused, wait, milliseconds(s.P90WaitMS), orUnknown(strings.TrimSpace(s.Name)))
	}
}
