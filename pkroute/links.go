package pkroute

import (
	"time"

	"peridotknot.example/pkid"
)

// LinkDelays holds the one-way delays between data centres; with the zero value every link takes no
// time.
type LinkDelays struct {
	// DefaultDelay is the delay between different data centres that are not listed.
	DefaultDelay time.Duration
	Delays       map[Link]time.Duration
}

// Link is a directed pair of data centres.
type Link struct {
	From pkid.DataCenter
	To   pkid.DataCenter
}

// Delay returns the one-way delay from one data centre to another.
func (l LinkDelays) Delay(from, to pkid.DataCenter) time.Duration {
	if t, found := l.Delays[Link{From: from, To: to}]; found {
		return t
	}
	if from == to {
		return 0
	}
	return l.DefaultDelay
}
