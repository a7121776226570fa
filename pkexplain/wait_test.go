package pkexplain

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// queueLog has one pool of engines and another one. Times are relative to 14:00:00.
const queueLog = `
{"@timestamp":"2026-07-09T13:59:00.000000Z","@message":"replica changed","target":"i-1","service":"models"}
{"@timestamp":"2026-07-09T13:59:00.000000Z","@message":"replica changed","target":"i-2","service":"models"}
{"@timestamp":"2026-07-09T13:59:00.000000Z","@message":"replica changed","target":"i-9","service":"other"}
{"@timestamp":"2026-07-09T13:59:01.000000Z","@message":"replica changed","target":"i-2","gone":true,"service":""}
{"@timestamp":"2026-07-09T14:00:02.000000Z","@message":"request","request_id":"served","route":"usual","account":"small","kind":"stream","outcome":"answered","sends":1,"ms":2000,"path":"i-1=0-80@a/l4","waited_ms":500,"ahead":7,"requeued":0}
{"@timestamp":"2026-07-09T14:00:03.100000Z","@message":"request","request_id":"before","route":"usual","account":"big","kind":"stream","outcome":"answered","sends":1,"ms":3200,"path":"i-2=0-80@a/l4","waited_ms":300,"ahead":2,"requeued":0}
{"@timestamp":"2026-07-09T14:00:03.200000Z","@message":"request","request_id":"after","route":"urgent","account":"big","kind":"stream","outcome":"answered","sends":2,"ms":3100,"path":"i-1=0-80@a/l4","waited_ms":200,"ahead":9,"requeued":1,"priority":0}
{"@timestamp":"2026-07-09T14:00:03.300000Z","@message":"request","request_id":"admitted later","route":"usual","account":"big","kind":"stream","outcome":"answered","sends":1,"ms":3100,"path":"i-1=0-80@a/l4","waited_ms":400,"ahead":9,"requeued":0}
{"@timestamp":"2026-07-09T14:00:03.300000Z","@message":"request","request_id":"admitted earlier","route":"usual","account":"big","kind":"stream","outcome":"answered","sends":1,"ms":4000,"path":"i-1=0-80@a/l4","waited_ms":400,"ahead":9,"requeued":0}
{"@timestamp":"2026-07-09T14:00:03.400000Z","@message":"request","request_id":"other pool","route":"else","account":"big","kind":"stream","outcome":"answered","sends":1,"ms":3300,"path":"i-9=0-80@a/l4","waited_ms":200,"ahead":9,"requeued":0}
{"@timestamp":"2026-07-09T14:00:03.500000Z","@message":"request","request_id":"did not wait","route":"usual","account":"big","kind":"stream","outcome":"answered","sends":1,"ms":3400,"path":"i-1=0-80@a/l4","waited_ms":0,"ahead":0,"requeued":0}
{"@timestamp":"2026-07-09T14:00:00.350000Z","@message":"request","request_id":"refused then","route":"usual","account":"big","kind":"stream","outcome":"full","sends":1,"ms":340,"path":"i-1=0-80@a/l4","waited_ms":300,"ahead":9,"requeued":1}
`

func waitOf(t *testing.T, log, id string) *Wait {
	t.Helper()
	e, err := Read(strings.NewReader(log), id)
	assert.NilError(t, err)
	return e.Wait
}

// Guards against naming requests as ahead that were admitted before or after the wait, in another pool, without
// waiting, or not at all.
func TestWaitNamesTheRequestsAdmittedMeanwhile(t *testing.T) {
	w := waitOf(t, queueLog, "served")
	start := time.Date(2026, 7, 9, 14, 0, 0, 0, time.UTC)
	assert.DeepEqual(t, w, &Wait{
		WaitedMS: 500, Ahead: 7, Account: "small", Service: "models", Admitted: 2, AdmittedLater: 1,
		Admissions: []Admission{
			{RequestID: "after", Account: "big", Route: "urgent", Priority: "0", At: start.Add(300 * time.Millisecond), WaitedMS: 200, Later: true, Approximate: true},
			{RequestID: "before", Account: "big", Route: "usual", At: start.Add(200 * time.Millisecond), WaitedMS: 300},
		},
	})
	var b strings.Builder
	assert.NilError(t, w.WriteText(&b))
	assert.Equal(t, b.String(), `
waited 500ms for room, 7 waited when it came
account small, priority unknown, priority of its route unknown, pool models
while it waited, 2 others that waited were admitted, 1 of which had come after it
  about 14:00:00.300 after account big, route urgent, priority 0, waited 200ms, came after it
  14:00:00.200 before account big, route usual, priority unknown, waited 300ms, came before it
`)
	assert.Assert(t, waitOf(t, queueLog, "did not wait") == nil)
}

// refusalLog returns the lines of a request that came at 14:00:00 and was refused after a wait.
func refusalLog(cause string, waited, estimate, retryAfter int) string {
	at := time.Date(2026, 7, 9, 14, 0, 0, 0, time.UTC).Add(milliseconds(int64(waited))).Format(time.RFC3339Nano)
	return fmt.Sprintf(`
{"@timestamp":%q,"@message":"request refused for lack of room","request_id":"refused","service":"models","account":"small","priority":1,"rank":2,"cause":%q,"waiting":12,"waited_ms":%d,"wait_ms":%d,"retry_after_ms":%d}
{"@timestamp":%q,"@message":"request","request_id":"refused","route":"usual","account":"small","kind":"stream","outcome":"full","sends":0,"ms":%d,"waited_ms":%d,"ahead":13,"requeued":0}
`, at, cause, waited, estimate, retryAfter, at, waited, waited)
}

// Guards against a refusal without its cause, estimate and Retry-After, in words and in JSON.
func TestWaitExplainsARefusal(t *testing.T) {
	for _, row := range []struct {
		cause                        string
		waited, estimate, retryAfter int
		reason                       string
		admitted                     int
	}{
		{"late", 0, 3100, 3400, "it was refused at once, since its estimated wait exceeded the time that its caller waits; the estimated wait was 3.1s, Retry-After 3.4s", 0},
		{"full", 250, 900, 1000, "the queue was full and it was the last in order; the estimated wait was 900ms, Retry-After 1s", 1},
		{"expired", 2000, 0, 500, "no room came for it in the time that its caller waits; there was no estimate of its wait, Retry-After 500ms", 4},
		{"budget", 2000, 10, 0, "an engine had refused it before it ran, and the retry budget allowed no other send in time; the estimated wait was 10ms, no Retry-After, since its caller had no time left", 4},
		{"new cause", 250, 900, 1000, `it was refused for the cause "new cause"; the estimated wait was 900ms, Retry-After 1s`, 1},
	} {
		all := refusalLog(row.cause, row.waited, row.estimate, row.retryAfter) + queueLog
		w := waitOf(t, all, "refused")
		want := &Refusal{Cause: row.cause, Reason: row.reason, Waiting: 12, EstimateMS: int64(row.estimate), RetryAfterMS: int64(row.retryAfter)}
		assert.DeepEqual(t, w.Refusal, want)
		assert.Equal(t, w.Priority+" "+w.Rank+" "+w.Account+" "+w.Service, "1 2 small models")
		assert.Equal(t, w.Ahead, int64(13))
		assert.Equal(t, w.Admitted, row.admitted, row.cause)
		assert.Equal(t, w.WaitedMS, int64(row.waited))
		text, err := json.Marshal(w)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(text), `"Cause":"`+row.cause+`"`), string(text))
	}
}

// Guards against a refusal that is shown for a later request with the same ID, as a caller that retries may send it.
func TestRefusalOfAnEarlierRequestWithTheSameIDIsNotShown(t *testing.T) {
	later := strings.ReplaceAll(queueLog, `"request_id":"admitted later"`, `"request_id":"refused"`)
	w := waitOf(t, refusalLog("late", 0, 3100, 100)+later, "refused")
	assert.Assert(t, w.Refusal == nil)
	assert.Equal(t, w.WaitedMS, int64(400))
}

// Guards against a list as long as the log, which the requests that came later must lead.
func TestListOfAdmissionsIsBounded(t *testing.T) {
	var all strings.Builder
	all.WriteString(refusalLog("expired", 2000, 100, 500))
	for i := range 40 {
		arrived := time.Date(2026, 7, 9, 13, 59, 59, 0, time.UTC).Add(time.Duration(i) * 30 * time.Millisecond)
		fmt.Fprintf(&all, `{"@timestamp":%q,"@message":"request","request_id":"r%d","outcome":"answered","sends":1,"ms":3000,"path":"i-7=0-80@a/l4","waited_ms":1200}`+"\n",
			arrived.Add(3*time.Second).Format(time.RFC3339Nano), i)
	}
	w := waitOf(t, all.String(), "refused")
	assert.Equal(t, w.Admitted, 40)
	assert.Equal(t, w.AdmittedLater, 6)
	assert.Equal(t, len(w.Admissions), maxAdmissions)
	assert.Equal(t, w.Admissions[0].RequestID, "r34")
	var b strings.Builder
	assert.NilError(t, w.WriteText(&b))
	assert.Assert(t, strings.Contains(b.String(), "and 35 more\n"), b.String())
}
