package pkroute

import (
	"time"

	"peridotknot.example/pkid"
)

// Links gives the one-way time between data centres; the zero value takes
// every link as free.
type Links struct {
	// Far is the time of a link that Times does not have.
	Far   time.Duration
	Times map[Link]time.Duration
}

// Link is a pair of data centres, from and to.
type Link struct {
	From pkid.DataCenter
	To   pkid.DataCenter
}

// Time returns the one-way time from one data centre to another.
func (l Links) Time(from, to pkid.DataCenter) time.Duration {
	if t, found := l.Times[Link{From: from, To: to}]; found {
		return t
	}
	if from == to {
		return 0
	}
	return l.Far
}
