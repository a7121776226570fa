package pkcensus

import "peridotknot.example/pkstore"

// OwnKey is what a process knows of the key by which its entry is registered. Another process of the same entry, as where
// one that was given up on goes on beside its successor, may replace it. The zero value has written none. It must not be
// used concurrently.
type OwnKey struct {
	writtenAt pkstore.Revision
	replaced  bool
	deleted   bool
}

// Write records that this process has written the key, as of a revision.
func (k *OwnKey) Write(at pkstore.Revision) { *k = OwnKey{writtenAt: at} }

// See records that the key was read as of a revision, and whether this process has written it.
func (k *OwnKey) See(at pkstore.Revision, own bool) {
	if at > k.writtenAt {
		k.replaced, k.deleted = !own, false
	}
}

// Delete records that the key was deleted, as of a revision.
func (k *OwnKey) Delete(at pkstore.Revision) {
	if at > k.writtenAt {
		k.replaced, k.deleted = false, true
	}
}

// IsReplaced reports whether the key registers another process: the others count that one in place of this.
func (k *OwnKey) IsReplaced() bool { return k.replaced }

// IsDeleted reports whether the key is to be written again.
func (k *OwnKey) IsDeleted() bool { return k.deleted }
