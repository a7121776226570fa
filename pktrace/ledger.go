package pktrace

// Ledger is what the targets say of the calls that reached them.
type Ledger struct {
	// Runs counts how often each replayed call ran.
	Runs map[string]int `json:"runs"`
	// Violations are breaches of layer order, Broken how many there were.
	Violations []string `json:"violations"`
	Broken     int      `json:"broken"`
	StoreCalls int64    `json:"store_calls"`
}
