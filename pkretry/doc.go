// Package pkretry limits the retries of each service to a share of its requests.
//
// A retry helps one request and adds load for all others; when targets fail, unbounded retries
// multiply the load. The budget applies to all entries together, so each entry spends only its
// part. Package pkretry is used by pkedge; RetryBudget in package pkadmit is its counterpart in
// pkentry.
package pkretry
