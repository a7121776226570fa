package pktarget

// Slots returns how many requests the target reports that it can run at once, and 0 before its
// first report.
func (t *Target) Slots() float64 {
	s := t.report.Load()
	if s == nil {
		return 0
	}
	return float64(s.MaxBatch)
}
