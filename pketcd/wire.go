package pketcd

// The part of the etcd v3 JSON gateway's messages that the router uses. The gateway
// encodes 64-bit integers as strings and bytes as base64.

// KeyValue is a key with its value and the revision of its last modification.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,omitempty,string"`
	Lease       int64  `json:"lease,omitempty,string"`
}

// Header is the header of each response.
type Header struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// RangeRequest reads Key, or the keys from Key up to but not including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is the condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
	Range  *RangeRequest  `json:"request_range,omitempty"`
}

// TxnRequest is a transaction: Success is executed if all conditions of Compare hold,
// otherwise Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure"`
}

// ResponseOp is the response to one operation of a transaction.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseGrantRequest creates a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseRequest renews or revokes a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse is the response to calls on leases; a TTL of zero means that the lease
// has expired.
type LeaseResponse struct {
	ID  int64 `json:"ID,omitempty,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

// KeepAliveResponse is one message of a lease's keep-alive stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchCreate requests the changes of a key range since StartRevision, inclusive.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

// WatchRequest creates a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchEvent is one change; an empty type means a put.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is the content of one message of a watch.
type WatchResult struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,omitempty,string"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// EventDelete is the type of an event that deleted a key.
const EventDelete = "DELETE"

// Values of Compare.Target and Compare.Result.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)
