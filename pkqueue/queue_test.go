package pkqueue

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"peridotknot.example/pkid"
)

var testStart = time.Unix(1_700_000_000, 0)

// drain admits what comes first until the queue is empty, and returns the values.
func drain(q *Queue[string], now time.Time) []string {
	var out []string
	for heads := q.Heads(now); len(heads) > 0; heads = q.Heads(now) {
		q.Admit(now, heads[0].Ticket)
		out = append(out, heads[0].Value)
	}
	return out
}

// Guards against each key of the order that is left out or compared too early.
func TestOrder(t *testing.T) {
	at := testStart.Add
	in := at(time.Second)
	var q Queue[string]
	for _, c := range []struct {
		name string
		it   Item
	}{
		{"7 late, less urgent", Item{Priority: 1, Objective: at(-time.Second), Arrived: at(-9 * time.Second)}},
		{"6 late, later arrival", Item{Objective: at(-2 * time.Second), Arrived: at(-time.Second)}},
		{"5 late, earlier arrival", Item{Objective: at(0), Arrived: at(-2 * time.Second)}},
		{"4 less urgent", Item{Priority: 1, Objective: at(time.Millisecond)}},
		{"3 other route", Item{Rank: 1, Objective: at(time.Millisecond)}},
		{"2 later objective", Item{Objective: in.Add(1)}},
		{"1 earlier objective", Item{Objective: in}},
		{"0 started", Item{Started: true, Priority: 9, Rank: 9, Objective: at(-time.Second)}},
	} {
		q.Push(testStart, c.it, c.name)
	}
	// The eighth admission would be that of the longest wait in any case.
	if got := drain(&q, testStart); !slices.IsSorted(got) || len(got) != 8 {
		t.Errorf("%q", got)
	}
}

// Guards against an account that is served by the number of its requests instead of their tokens,
// and against usage that is never forgotten.
func TestAccountWithTheFewestTokensGoesFirst(t *testing.T) {
	var q Queue[string]
	push := func(now time.Time, id string, tokens float64) {
		q.Push(now, Item{Account: pkid.AccountID(id), Objective: now.Add(time.Hour), Tokens: tokens}, id)
	}
	for range 2 {
		push(testStart, "a", 1000)
	}
	for range 6 {
		push(testStart, "b", 300)
	}
	if got, want := drain(&q, testStart), []string{"a", "b", "b", "b", "b", "a", "b", "b"}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
	push(testStart, "a", 10)
	push(testStart, "b", 10)
	push(testStart, "c", 10)
	if got, want := drain(&q, testStart), []string{"c", "b", "a"}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
	// 10 s later, the 2,000 tokens of a have decayed to 271.
	later := testStart.Add(2 * usageDecay)
	push(later, "b", 300)
	push(later, "d", 300)
	push(later, "d", 300)
	push(later, "a", 300)
	if got, want := drain(&q, later), []string{"d", "b", "a", "d"}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// Guards against a request that waits for ever behind more urgent ones, or that is served more often
// than one in eight admissions.
func TestOneInEightAdmissionsIsOfTheLongestWait(t *testing.T) {
	var q Queue[string]
	for i := range 3 {
		q.Push(testStart.Add(time.Duration(i)), Item{Priority: 2}, "old")
	}
	q.Push(testStart, Item{Arrived: testStart.Add(-time.Hour), Latest: testStart.Add(time.Second)}, "outdated")
	now := testStart.Add(2 * time.Second)
	var got []int
	for i := range 30 {
		for range 2 {
			q.Push(now, Item{Objective: now.Add(time.Hour)}, "urgent")
		}
		head := q.Heads(now)[0]
		q.Admit(now, head.Ticket)
		if head.Value != "urgent" {
			got = append(got, i)
		}
	}
	if want := []int{7, 15, 23}; !slices.Equal(got, want) || q.Len() != 34 {
		t.Errorf("admissions of old requests: %v, want %v; %d wait", got, want, q.Len())
	}
	// A turn that finds no capacity for the request stays due.
	q.Push(now, Item{Priority: 3, Arrived: testStart.Add(-time.Minute)}, "oldest")
	for range 12 {
		heads := q.Heads(now)
		i := slices.IndexFunc(heads, func(w Waiting[string]) bool { return w.Value == "urgent" })
		q.Admit(now, heads[i].Ticket)
	}
	for _, want := range []string{"oldest", "urgent"} {
		head := q.Heads(now)[0]
		q.Admit(now, head.Ticket)
		if head.Value != want {
			t.Errorf("%+v, want %s", head, want)
		}
	}
}

// Guards against the drop of a started answer, of a request that is not the last, or of none.
func TestFullQueueDropsTheLast(t *testing.T) {
	q := Queue[string]{Limits: Limits{MaxWaiting: 3}}
	soon := testStart.Add(time.Second)
	push := func(name string, it Item, want ...string) {
		t.Helper()
		_, dropped := q.Push(testStart, it, name)
		var got []string
		for _, d := range dropped {
			got = append(got, d.Value)
		}
		if !slices.Equal(got, want) {
			t.Errorf("push of %s drops %q, want %q", name, got, want)
		}
	}
	push("urgent", Item{Objective: soon})
	push("late", Item{})
	push("patient", Item{Priority: 2, Objective: soon})
	push("last", Item{Priority: 1}, "last")
	push("urgent 2", Item{Objective: soon}, "late")
	push("started", Item{Started: true, Priority: 2}, "patient")
	push("started 2", Item{Started: true, Priority: 2}, "urgent 2")
	push("started 3", Item{Started: true, Priority: 2}, "urgent")
	push("urgent 3", Item{Objective: soon}, "urgent 3")
	push("started 4", Item{Started: true, Priority: 1}, "started 3")
	q.Limits.MaxWaiting = 1 // the configuration changed
	push("urgent 4", Item{}, "urgent 4", "started 2", "started")
	q.Limits.MaxWaiting = -1
	for i := range DefaultMaxWaiting - 1 {
		push(fmt.Sprint(i), Item{})
	}
	push("one more", Item{}, "one more")
}

// Guards against requests past Latest that are offered or that displace others.
func TestLatest(t *testing.T) {
	q := Queue[string]{Limits: Limits{MaxWaiting: 3}}
	q.Push(testStart, Item{Latest: testStart.Add(time.Second)}, "a")
	q.Push(testStart, Item{Latest: testStart.Add(2 * time.Second), Started: true}, "b")
	q.Push(testStart, Item{}, "no limit")
	at := testStart.Add(time.Second)
	if got := q.Expire(at); got != nil || len(q.Heads(at)) != 2 {
		t.Errorf("expired at Latest, not after it: %v", got)
	}
	at = at.Add(1)
	if heads := q.Heads(at); len(heads) != 2 || heads[0].Value != "b" || heads[1].Value != "no limit" {
		t.Errorf("%v", heads)
	}
	if _, dropped := q.Push(at, Item{Priority: 9}, "new"); len(dropped) != 1 || dropped[0].Value != "a" {
		t.Errorf("dropped %v", dropped)
	}
	if _, dropped := q.Push(at, Item{Latest: testStart}, "outdated"); len(dropped) != 1 || dropped[0].Value != "outdated" {
		t.Errorf("dropped %v", dropped)
	}
	at = testStart.Add(time.Hour)
	if got := q.Expire(at); len(got) != 1 || got[0].Value != "b" || q.Len() != 2 {
		t.Errorf("expired %v", got)
	}
	if got := q.Heads(at.Add(-2 * time.Hour)); len(got) != 2 {
		t.Errorf("at a time before: %v", got)
	}
}

// Guards against values out of range that break the order or the sums.
func TestInputIsChecked(t *testing.T) {
	var q Queue[string]
	for _, tokens := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0} {
		q.Push(testStart, Item{Priority: -7, Rank: math.MinInt, Tokens: tokens, Objective: testStart.Add(1)}, "")
	}
	q.Push(testStart, Item{Priority: math.MaxInt, Rank: 10, Tokens: 1e300, Objective: testStart.Add(1)}, "")
	want := []Level{{Priority: 0, Requests: 5}, {Priority: 9, Requests: 1, Tokens: maxTokens}}
	if got := q.Demand(testStart); !slices.Equal(got, want) {
		t.Errorf("demand %v, want %v", got, want)
	}
	heads := q.Heads(testStart)
	if len(heads) != 2 || heads[1].Item.Priority != 9 || heads[1].Item.Rank != 9 || !heads[0].Item.Arrived.Equal(testStart) {
		t.Errorf("%+v", heads)
	}
	if got := q.Ahead(testStart, Item{Priority: 9, Rank: 9}); got != maxTokens {
		t.Errorf("%v tokens ahead", got)
	}
}

// Guards against an estimate that counts all requests of a large account as ahead of a small one's,
// or only the first of each account as ahead of a large one's.
func TestAheadFollowsTheFairShare(t *testing.T) {
	q := Queue[string]{Limits: Limits{MaxWaiting: 5000}}
	item := func(account string, tokens float64) Item {
		return Item{Account: pkid.AccountID(account), Objective: testStart.Add(time.Second), Tokens: tokens}
	}
	for range 10 {
		q.Push(testStart, item("a", 100), "")
		q.Push(testStart, item("b", 100), "")
	}
	q.Push(testStart, Item{Priority: 1, Objective: testStart.Add(time.Second), Tokens: 7000}, "")
	q.Push(testStart, Item{Started: true, Priority: 9, Tokens: 30}, "")
	ticket, _ := q.Push(testStart, item("b", 500), "")
	q.Admit(testStart, ticket)
	for account, want := range map[string]float64{
		"a": 30 + 1000 + 500,  // until b, which is 500 ahead, has had as much as a
		"b": 30 + 1000 + 1000, // all of both
		"c": 30 + 100,         // a has none either, and came before
	} {
		if got := q.Ahead(testStart, item(account, 1)); math.Abs(got-want) > 1e-6 {
			t.Errorf("%s: %v tokens ahead, want %v", account, got, want)
		}
	}
	if got := q.Ahead(testStart, Item{Priority: 1}); got != 30+2000+7000 {
		t.Errorf("late: %v tokens ahead", got)
	}
	// Beyond maxExact, the estimate extrapolates.
	for i := range 2000 {
		q.Push(testStart, item(fmt.Sprint(i), 100), "")
	}
	if got, want := q.Ahead(testStart, item("c", 1)), 200_000.0; math.Abs(got-want) > want/10 {
		t.Errorf("%v tokens ahead, want about %v", got, want)
	}
	for i := range 2000 {
		it := item("a", 100)
		it.Priority, it.Objective = 2, testStart.Add(time.Duration(i+1)*time.Millisecond)
		q.Push(testStart, it, "")
	}
	it := item("a", 1)
	it.Priority, it.Objective = 3, testStart.Add(time.Second)
	all := q.Ahead(testStart, it)
	it.Priority = 2
	if got, want := all-q.Ahead(testStart, it), 100_000.0; math.Abs(got-want) > want/10 {
		t.Errorf("%v tokens behind, want about %v", got, want)
	}
}

// Guards against methods that fail on the zero value, or for tickets that are not waiting.
func TestZeroQueue(t *testing.T) {
	var q Queue[string]
	if q.Heads(testStart) != nil || q.Expire(testStart) != nil || q.Demand(testStart) != nil || q.Len() != 0 ||
		q.Ahead(testStart, Item{}) != 0 {
		t.Error("an empty queue holds requests")
	}
	var r Queue[string]
	if r.Remove(0) || r.Remove(1) || q.Admit(testStart, 0) || q.Admit(testStart, 1) {
		t.Error("a request that does not wait is taken out")
	}
	ticket, _ := r.Push(testStart, Item{}, "a")
	if ticket == 0 || !r.Remove(ticket) || r.Remove(ticket) || r.Len() != 0 {
		t.Error("a request is not taken out exactly once")
	}
}

// Guards against accounts that are kept for ever.
func TestAccountsAreForgotten(t *testing.T) {
	var q Queue[string]
	now := testStart
	for i := range 20_000 {
		now = now.Add(100 * time.Millisecond)
		ticket, _ := q.Push(now, Item{Account: pkid.AccountID(fmt.Sprint(i)), Tokens: 1000}, "")
		q.Admit(now, ticket)
	}
	// 1,000 tokens fall below one after 35 s, the time of 350 requests.
	if n := len(q.accounts); n > 800 {
		t.Errorf("%d accounts", n)
	}
}
