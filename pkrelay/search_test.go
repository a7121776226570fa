package pkrelay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are given up in the first moments of a cut, before hubs have reported who is in order or, if
// they cannot be refused any more, before the cut has ended; and against holding those that nobody can serve.
func TestSearchWaitsWhileSomebodyMayTakeTheRequest(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	for name, row := range map[string]struct {
		prospects Prospects
		waits     time.Duration
		pause     time.Duration
	}{
		"links that lose packets": {prospects: Prospects{HubMayReport: true}},
		"nobody may be reported":  {prospects: Prospects{CutOff: true, Refusable: true}},
		"a hub may report":        {Prospects{CutOff: true, HubMayReport: true, Refusable: true}, helperTimeout, helperPollInterval},
		"it may have run":         {Prospects{CutOff: true}, linkTimeout, linkPollInterval},
	} {
		t.Run(name, func(t *testing.T) {
			var s Search
			s.Begin(began)
			s.Begin(began.Add(time.Hour))
			waited := time.Duration(0)
			for pause := s.Pause(began, row.prospects); pause > 0; pause = s.Pause(began.Add(waited), row.prospects) {
				assert.Equal(t, pause, row.pause)
				waited += pause
			}
			assert.Equal(t, waited, row.waits)
		})
	}
}
