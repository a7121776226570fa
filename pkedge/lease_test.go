package pkedge

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkstore"
)

// Guards against watches that wait on silent connections although a renewal has shown that new ones
// are answered, and against watches that are begun again for nothing.
func TestWhatRenewalsShowOfWatches(t *testing.T) {
	lost := errors.New("no answer")
	for _, row := range []struct {
		name     string
		renewals []error
		want     []error
	}{
		{"all is well", []error{nil, nil}, []error{nil, nil}},
		{"one is lost", []error{lost, nil, nil}, []error{nil, errReconnected, nil}},
		{"the lease ended meanwhile", []error{lost, pkstore.ErrNoLease, nil}, []error{nil, errReconnected, nil}},
		{"the store turns this entry away", []error{pkstore.ErrRefused, nil}, []error{nil, nil}},
		{"lost, then turned away", []error{lost, pkstore.ErrRefused, nil}, []error{nil, errSilence, errReconnected}},
		{"the store is away", []error{lost, lost, lost, nil}, []error{nil, errSilence, nil, errReconnected}},
	} {
		t.Run(row.name, func(t *testing.T) {
			var m members
			for i, err := range row.renewals {
				_, shows := m.kept(err)
				assert.Equal(t, shows, row.want[i], "renewal %d", i)
			}
		})
	}
}
