package pkreach

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that takes links which are cut for whole, since their resets come late on a busy VM.
func TestConnectionsThatNobodyAnswersMayBeResetLater(t *testing.T) {
	for _, row := range []struct {
		cutOff                                bool
		answered, unanswered, refused, silent int
		late                                  bool
		want                                  Sample
	}{
		{cutOff: true, unanswered: 6, late: true, want: Sample{Reached: 6, Answered: 6}},
		{unanswered: 6, want: Sample{Reached: 6, Answered: 6}},
		{refused: 3, unanswered: 3, late: true, want: Sample{Reached: 3, Answered: 3, Failed: 3}},
		{cutOff: true, refused: 3, unanswered: 3, want: Sample{Failed: 6}},
		{cutOff: true, refused: 6, want: Sample{Failed: 6}},
		{cutOff: true, answered: 1, unanswered: 5, want: Sample{Reached: 6, Answered: 6}},
		{answered: 1, refused: 1, unanswered: 4, want: Sample{Reached: 5, Answered: 5, Failed: 1}},
		{cutOff: true, silent: 4, refused: 1, unanswered: 1, want: Sample{Failed: 6, Silent: 4}},
		{silent: 4, answered: 2, want: Sample{Reached: 2, Answered: 2, Failed: 4, Silent: 4}},
		{cutOff: true},
	} {
		r := Replies{CutOff: row.cutOff}
		for reply, n := range map[Reply]int{Answered: row.answered, Unanswered: row.unanswered, Refused: row.refused, Silent: row.silent} {
			for range n {
				r.Add(reply)
			}
		}
		assert.Equal(t, r.MayBeLate(), row.late, "%+v", row)
		assert.Equal(t, r.Sample(), row.want, "%+v", row)
	}
}
