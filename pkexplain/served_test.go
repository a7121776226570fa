package pkexplain

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// streamLine returns the log line of a stream with an outcome, its time to the first event and its wait.
func streamLine(account, route, outcome, path string, first, waited int) string {
	return fmt.Sprintf(`{"@timestamp":"2026-07-09T14:00:00Z","@message":"request","request_id":"r","kind":"stream","account":%q,"route":%q,"outcome":%q,"sends":1,"ms":1000,"first_ms":%d,"path":%q,"waited_ms":%d}`+"\n",
		account, route, outcome, first, path, waited)
}

func summaryOf(t *testing.T, log string) Summary {
	t.Helper()
	s, err := Summarize(strings.NewReader(log), Thresholds{FirstEvent: 500 * time.Millisecond, Pause: 200 * time.Millisecond}, 2*time.Second)
	assert.NilError(t, err)
	return s
}

// Guards against an account that is hardly served and hidden by the total, and against streams whose callers left
// while they waited being left out.
func TestSummaryShowsTheWorstServedFirst(t *testing.T) {
	const path = "i-1=0-80@a/l4"
	var log strings.Builder
	for range 9 {
		log.WriteString(streamLine("big", "usual", "answered", path, 60, 100))
	}
	log.WriteString(streamLine("big", "urgent", "answered", path, 900, 700))
	log.WriteString(streamLine("small", "usual", "full", "", 0, 0))
	log.WriteString(streamLine("small", "usual", "left", "", 0, 2000))
	log.WriteString(streamLine("small", "usual", "answered", path, 60, 1))
	log.WriteString(streamLine("small", "usual", "no_route", "", 0, 0))
	s := summaryOf(t, log.String())
	assert.Equal(t, s.Streams, 13)
	for i := range s.Accounts {
		s.Accounts[i].waits = nil
	}
	assert.Equal(t, fmt.Sprint(s.Accounts), fmt.Sprint([]Served{
		{Name: "small", Streams: 3, InTime: 1, Refused: 1, MeanWaitMS: 667, P90WaitMS: 2000},
		{Name: "big", Streams: 10, InTime: 9, Late: 1, MeanWaitMS: 160, P90WaitMS: 100},
	}))
	assert.Equal(t, s.Routes[0].Name, "urgent")
	assert.Equal(t, s.Routes[1].Streams, 12)
	var b strings.Builder
	assert.NilError(t, s.WriteText(&b))
	assert.Assert(t, strings.Contains(b.String(), `
accounts, the worst served first (2 of 2)
streams  in time     late  refused  mean wait  90% waited at most
      3        1        0        1      667ms                  2s  small
     10        9        1        0      160ms               100ms  big
`), b.String())
	text, err := json.Marshal(s)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), `"Accounts":[{"Name":"small","Streams":3,"InTime":1,"Late":0,"Refused":1,"MeanWaitMS":667,"P90WaitMS":2000}`), string(text))
}

// Guards against a table as long as the list of accounts.
func TestSummaryListsAtMostTenAccounts(t *testing.T) {
	var log strings.Builder
	for i := range 25 {
		log.WriteString(streamLine(fmt.Sprintf("account-%02d", i), "usual", "full", "", 0, 0))
	}
	log.WriteString(streamLine("account-24", "usual", "full", "", 0, 0))
	s := summaryOf(t, log.String())
	assert.Equal(t, len(s.Accounts), maxServed)
	assert.Equal(t, s.AccountCount, 25)
	assert.Equal(t, s.Accounts[0].Name, "account-24", "more streams")
	assert.Equal(t, s.Accounts[1].Name, "account-00")
	assert.Equal(t, len(s.Routes), 1)
}

// Guards against a percentile that is off by one, or fails without values.
func TestPercentileIsTheNearestRank(t *testing.T) {
	for _, row := range []struct {
		all  []int64
		want int64
	}{
		{nil, 0},
		{[]int64{5}, 5},
		{[]int64{9, 1}, 9},
		{[]int64{10, 9, 8, 7, 6, 5, 4, 3, 2, 1}, 9},
		{[]int64{11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1}, 10},
	} {
		assert.Equal(t, percentile(row.all, 90), row.want, "%v", row.all)
	}
}
