// Package pkretry limits the retries of each service to a share of its requests.
//
// A retry helps one request and adds load for all others; when targets fail, unbounded retries
// multiply the load. The budget applies to all entries together, so each entry spends only its
// part.
//
// The budget bounds what reaches targets, which may be long after a retry was allowed. A Charge therefore counts until its retry
// has arrived or was given up, and for a window after that. What may arrive even later, at targets that stand still, counts by
// Suspend until they answer.
//
// Package pkretry is used by pkedge; RetryBudget in package pkadmit is its counterpart in
// pkentry.
package pkretry
