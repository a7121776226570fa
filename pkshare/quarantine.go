package pkshare

import (
	"time"

	"peridotknot.example/pkquarantine"
)

const (
	// answerTime is the time after a catch-up from which a peer's message takes it into account, if it arrived.
	// It allows for a round trip between data centres.
	answerTime = Interval
	// maxEarlyRepeats bounds the quarantine catch-ups that are repeated within catchUpRetry while one difference
	// lasts. Where a fifth of all messages is lost, all of four are lost once in 600 times.
	maxEarlyRepeats = 3
)

// quarantineSync is what an entry knows of the difference between a peer's quarantined requests and its own;
// the zero value is that of a peer without a quarantine.
type quarantineSync struct {
	// checksum is the peer's checksum of quarantined requests, differsSince is when it was first seen to differ
	// from this entry's.
	checksum     pkquarantine.Checksum
	differsSince time.Time
	// sentAt is when the peer was last sent a catch-up, sentFor the checksum that it had then.
	sentAt  time.Time
	sentFor pkquarantine.Checksum
	// earlyRepeats is how many catch-ups were repeated early since the checksums differ.
	earlyRepeats int
}

// catchUpDue reports whether a peer is due for a catch-up at now, and records it as sent: its quarantined
// requests have differed from this entry's for some time. A catch-up that seems lost is repeated before
// catchUpRetry. heardAt is when the peer's last message came. A zero checksum comes from a build without
// quarantine, which must not be sent the cases again and again.
func (s *quarantineSync) catchUpDue(now, heardAt time.Time, own pkquarantine.Checksum) bool {
	differs := s.checksum != 0 && s.checksum != own
	if !differs {
		s.earlyRepeats = 0
	}
	if !sustained(now, &s.differsSince, differs, catchUpDelay) {
		return false
	}
	if now.Sub(s.sentAt) < catchUpRetry {
		if s.earlyRepeats >= maxEarlyRepeats || !s.seemsLost(heardAt) {
			return false
		}
		s.earlyRepeats++
	}
	s.sentAt, s.sentFor = now, s.checksum
	return true
}

// seemsLost reports whether the last catch-up was probably lost: a message that the peer sent since, and that
// came at heardAt, has the checksum of before.
func (s *quarantineSync) seemsLost(heardAt time.Time) bool {
	return !s.sentAt.Before(s.differsSince) && s.checksum == s.sentFor && heardAt.Sub(s.sentAt) >= answerTime
}
