package pkedge

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkstore"
	"peridotknot.example/pktimer"
)

const (
	// suspectKeyPrefix is the prefix of the suspected requests that each designated entry saves, below the
	// daemons' own prefix.
	suspectKeyPrefix = "suspects/"
	// maxSavedSuspects bounds the suspects that an entry saves. The loss of a data centre makes suspects of
	// hundreds of requests.
	maxSavedSuspects = 32
	// suspectCheckInterval is how often an entry looks for suspects to save.
	suspectCheckInterval = 100 * time.Millisecond
	// suspectSaveInterval is the shortest time between two writes, and suspectDropInterval the same if nothing
	// is new and some are no longer suspected.
	suspectSaveInterval = 300 * time.Millisecond
	suspectDropInterval = 5 * time.Second
)

// savedSuspects is the stored form of an entry's suspects.
type savedSuspects struct {
	Cases []pkquarantine.Case `json:"cases"`
	// SavedUnixMS is the time of the write; ages in the cases are relative to it.
	SavedUnixMS int64 `json:"saved_unix_ms"`
}

// suspectSaver saves the suspects of one entry.
type suspectSaver struct {
	// saved are the suspects of the last write, by digest and number of crashes, at savedAt.
	saved   map[string]bool
	savedAt time.Time
	lease   pkstore.LeaseID
	// revision is that of the key after the last write.
	revision pkstore.Revision
}

// saveSuspects writes what is short of a quarantine by one crash to the store while this entry is designated: a
// restart of all entries would otherwise let it crash as many replicas again. Entries read it at start together
// with the members.
func (d *Daemon) saveSuspects(ctx context.Context) {
	var s suspectSaver
	pktimer.Every(ctx, suspectCheckInterval, func(ctx context.Context) {
		now := time.Now()
		if !d.gossip.designated.Load() || d.stopping.Load() {
			return
		}
		cases := d.quarantine.table.Suspects(now, maxSavedSuspects)
		if !s.due(now, cases) {
			return
		}
		s.savedAt = now
		if err := d.writeSuspects(ctx, &s, cases); err != nil {
			d.log.Warn("suspected requests were not saved and will be tried again", "suspects", len(cases), "error", err)
			s.saved, s.savedAt = nil, now.Add(saveRetryDelay-suspectSaveInterval)
			return
		}
		d.log.Info("suspected requests saved", "suspects", len(cases))
	})
}

// due reports whether to write suspects at now, and records that they are about to be.
func (s *suspectSaver) due(now time.Time, cases []pkquarantine.Case) bool {
	next := make(map[string]bool, len(cases))
	added := false
	for _, c := range cases {
		key := fmt.Sprint(c.Digest, len(c.Crashes))
		next[key] = true
		added = added || !s.saved[key]
	}
	wait := suspectDropInterval
	if added {
		wait = suspectSaveInterval
	}
	if (!added && len(next) == len(s.saved)) || now.Sub(s.savedAt) < wait {
		return false
	}
	s.saved = next
	return true
}

// writeSuspects writes suspects in place of those written before.
func (d *Daemon) writeSuspects(ctx context.Context, s *suspectSaver, cases []pkquarantine.Case) error {
	value, err := json.Marshal(savedSuspects{Cases: cases, SavedUnixMS: time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	if s.lease == 0 {
		s.lease, err = d.Store.Grant(ctx, pkquarantine.Period)
		d.recordStoreCall(callGrant, askerQuarantine, err)
		if err != nil {
			return err
		}
	}
	w := pkstore.Swap{Key: d.OwnPrefix + suspectKeyPrefix + string(d.settings.Entry), Old: s.revision, Value: value, Lease: s.lease}
	out, err := d.write(ctx, askerQuarantine, w)
	if err == nil && !out.Succeeded {
		w.Old = out.Item.Revision
		out, err = d.write(ctx, askerQuarantine, w)
	}
	if err != nil {
		s.lease = 0 // it may have expired
		return err
	}
	s.revision = out.Item.Revision
	return nil
}

// savedSuspectCases returns the suspects among the daemons' own keys at now. Values that cannot be read, such as those
// written by another version, are skipped.
func (d *Daemon) savedSuspectCases(now time.Time, items []pkstore.Item) []pkquarantine.Case {
	var out []pkquarantine.Case
	for _, one := range items {
		if !strings.HasPrefix(one.Key, d.OwnPrefix+suspectKeyPrefix) {
			continue
		}
		var saved savedSuspects
		if err := json.Unmarshal(one.Value, &saved); err != nil {
			d.log.Warn("suspected requests of the store were not read", "key", one.Key, "error", err)
			continue
		}
		age := now.Sub(time.UnixMilli(saved.SavedUnixMS))
		for _, c := range saved.Cases {
			out = append(out, c.Aged(age))
		}
	}
	return out
}
