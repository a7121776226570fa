package pktrace

// Ledger is the targets' record of the calls that reached them.
type Ledger struct {
	// Runs counts the executions of each replayed call.
	Runs map[string]int `json:"runs"`
	// Violations describes some of the violations of the layer order; ViolationCount counts all.
	Violations     []string `json:"violations"`
	ViolationCount int      `json:"broken"`
	// StoreCalls counts the calls to the key-value store.
	StoreCalls int64 `json:"store_calls"`
}
