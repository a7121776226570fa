package pkentry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"peridotknot.example/pkclaim"
	"peridotknot.example/pkid"
	"peridotknot.example/pkmember"
	"peridotknot.example/pkopenai"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pktimer"
	"peridotknot.example/pkverdict"
)

const (
	headerIdempotency = "Idempotency-Key"
	maxIdempotencyKey = 256
	// claimReplicas is the number of entries that store each claim.
	claimReplicas = 2
	claimTimeout  = 500 * time.Millisecond
)

// claims holds the idempotency claims stored at this entry, and its claim requests to other entries
// that are pending.
type claims struct {
	table  pkclaim.Table
	nextID atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]chan bool
}

var errClaimUnanswered = errors.New("claim replica unreachable or timed out")

// claim claims the call's idempotency key at all replicas, if the call has a key and is not
// repeatable. The returned function releases the claim; call it only if the call was not run.
func (c *call) claim(service pkid.ServiceID, repeatable bool) (func(), error) {
	text := c.r.Header.Get(headerIdempotency)
	if text == "" || repeatable {
		return func() {}, nil
	}
	if len(text) > maxIdempotencyKey {
		return nil, c.invalid(http.StatusBadRequest, "bad_idempotency_key", "the idempotency key is too long")
	}
	k := pkclaim.KeyOf(c.account.ID, service, text)
	replicas := pkmember.TopRanked(c.peers.table.Neighbors(time.Now()), string(k), claimReplicas)
	release := func() {
		for _, m := range replicas {
			c.releaseAt(m, k, c.id)
		}
	}
	for _, m := range replicas {
		granted, err := c.claimAt(c.r.Context(), m, k, c.id)
		if err != nil {
			release()
			return nil, &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonNoRoute, Err: err}
		}
		if !granted {
			release()
			return nil, &pkopenai.Failure{
				Status: http.StatusConflict, Type: pkopenai.TypeInvalid, Code: "duplicate_idempotency_key",
				Message: "a call with this idempotency key was accepted before", Verdict: pkverdict.MayHaveRun,
			}
		}
	}
	return release, nil
}

func (e *Entry) claimAt(ctx context.Context, m pkmember.Member, k pkclaim.Key, holder pkid.RequestID) (bool, error) {
	if m.Instance == e.peers.table.Self().Instance {
		return e.claims.table.Claim(time.Now(), k, holder), nil
	}
	c := e.peers.connTo(m.Instance)
	if c == nil {
		return false, errClaimUnanswered
	}
	id, reply := e.claims.addPending()
	defer e.claims.removePending(id)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if _, err := c.Send(ctx, pkmember.Message{Claim: &pkmember.Claim{ID: id, Key: string(k), Holder: holder}}); err != nil {
		return false, err
	}
	select {
	case granted := <-reply:
		return granted, nil
	case <-ctx.Done():
		return false, errClaimUnanswered
	}
}

// releaseAt releases a claim at a replica. If the release is lost, the key stays claimed and the
// client has to retry with another key, which is safe.
func (e *Entry) releaseAt(m pkmember.Member, k pkclaim.Key, holder pkid.RequestID) {
	if m.Instance == e.peers.table.Self().Instance {
		e.claims.table.Release(k, holder)
		return
	}
	c := e.peers.connTo(m.Instance)
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if _, err := c.Send(ctx, pkmember.Message{Claim: &pkmember.Claim{Key: string(k), Holder: holder, Release: true}}); err != nil {
		e.log.Debug("failed to release claim", "error", err)
	}
}

// handleClaim handles a claim or release request from another entry.
func (e *Entry) handleClaim(ctx context.Context, c *pkpeer.Conn[pkmember.Message], claim *pkmember.Claim) error {
	k := pkclaim.Key(claim.Key)
	if claim.Release {
		e.claims.table.Release(k, claim.Holder)
		return nil
	}
	granted := e.claims.table.Claim(time.Now(), k, claim.Holder)
	_, err := c.Send(ctx, pkmember.Message{ClaimReply: &pkmember.ClaimReply{ID: claim.ID, Granted: granted}})
	return err
}

// handOverBatch is the maximum number of claims in a message that hands claims over.
const handOverBatch = 500

// connPollInterval is the interval for checking whether a link is connected.
const connPollInterval = 20 * time.Millisecond

// handOverClaims sends this entry's claims to the members that are replicas of them. It is called
// when the neighborhood changes and when this entry leaves, so that claims survive the replacement
// of all VMs.
func (e *Entry) handOverClaims(ctx context.Context, members []pkmember.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	self := e.peers.table.Self()
	claimsByInstance := map[pkmember.Instance][]pkmember.Claim{}
	for _, claim := range e.claims.table.Active(time.Now()) {
		for _, m := range pkmember.TopRanked(members, string(claim.Key), claimReplicas) {
			if m.Instance != self.Instance {
				claimsByInstance[m.Instance] = append(claimsByInstance[m.Instance], pkmember.Claim{Key: string(claim.Key), Holder: claim.Holder})
			}
		}
	}
	for id, all := range claimsByInstance {
		if err := e.sendClaims(ctx, id, all); err != nil {
			e.log.Warn("failed to hand over claims", "error", err)
		}
	}
}

func (e *Entry) sendClaims(ctx context.Context, to pkmember.Instance, all []pkmember.Claim) error {
	c := e.peers.connTo(to)
	for c == nil {
		// The link to a new neighbor may not be connected yet.
		if !pktimer.Sleep(ctx, connPollInterval) {
			return errClaimUnanswered
		}
		c = e.peers.connTo(to)
	}
	for batch := range slices.Chunk(all, handOverBatch) {
		if _, err := c.Send(ctx, pkmember.Message{HandOver: batch}); err != nil {
			return err
		}
	}
	return nil
}

func (c *claims) addPending() (uint64, <-chan bool) {
	reply := make(chan bool, 1)
	id := c.nextID.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = map[uint64]chan bool{}
	}
	c.pending[id] = reply
	return id, reply
}

func (c *claims) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *claims) resolve(r *pkmember.ClaimReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply, found := c.pending[r.ID]; found {
		delete(c.pending, r.ID)
		reply <- r.Granted
	}
}
