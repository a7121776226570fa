package pkedge

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkstore"
)

// Guards against watches that wait on silent connections after a renewal has shown that new ones
// are answered, and against restarting watches needlessly.
func TestLeaseRenewalsEndSilentWatches(t *testing.T) {
	lost := errors.New("no answer")
	for _, row := range []struct {
		name     string
		renewals []error
		want     []error
	}{
		{"no failure", []error{nil, nil}, []error{nil, nil}},
		{"one lost renewal", []error{lost, nil, nil}, []error{nil, errReconnected, nil}},
		{"lease expired meanwhile", []error{lost, pkstore.ErrNoLease, nil}, []error{nil, errReconnected, nil}},
		{"refused by the store", []error{pkstore.ErrRefused, nil}, []error{nil, nil}},
		{"lost, then refused", []error{lost, pkstore.ErrRefused, nil}, []error{nil, errStoreSilent, errReconnected}},
		{"store unavailable", []error{lost, lost, lost, nil}, []error{nil, errStoreSilent, nil, errReconnected}},
	} {
		t.Run(row.name, func(t *testing.T) {
			var m members
			for i, err := range row.renewals {
				_, endWatches := m.recordRenewal(err)
				assert.Equal(t, endWatches, row.want[i], "renewal %d", i)
			}
		})
	}
}
