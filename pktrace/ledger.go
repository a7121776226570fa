package pktrace

// Ledger is the targets' record of the calls that reached them.
type Ledger struct {
	// Runs counts the executions of each replayed call.
	Runs map[string]int `json:"runs"`
	// The violations of the layer order, of which some are described, and their number.
	Violations     []string `json:"violations"`
	ViolationCount int      `json:"broken"`
	// StoreCalls counts the calls to the key-value store.
	StoreCalls int64 `json:"store_calls"`
}
