package pketcd

// Messages of the etcd v3 JSON gateway, as far as the router uses them. The
// gateway writes 64-bit numbers as strings and bytes as base64.

// KeyValue is a key with its value.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,omitempty,string"`
	Lease       int64  `json:"lease,omitempty,string"`
}

// Header is the head of each answer.
type Header struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// RangeRequest reads one key or a range of keys.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
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

// DeleteRequest removes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
	Range  *RangeRequest  `json:"request_range,omitempty"`
}

// TxnRequest writes under a condition.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure"`
}

// ResponseOp answers one operation of a transaction.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseGrantRequest begins a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseRequest names a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse answers calls on leases; a TTL of zero says that it has ended.
type LeaseResponse struct {
	ID  int64 `json:"ID,omitempty,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

// KeepAliveResponse is one line of a lease's keep-alive stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchCreate asks for the changes of a range from a revision on.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchEvent is one change; an empty type is a put.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is what one line of a watch holds.
type WatchResult struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,omitempty,string"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchResponse is one line of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// EventDelete is the type of an event that removed a key.
const EventDelete = "DELETE"

// Values of Compare.
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
