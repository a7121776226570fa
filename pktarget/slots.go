package pktarget

// Slots returns how many requests the target says that it can run at once.
func (t *Target) Slots() float64 {
	s := t.report.Load()
	if s == nil {
		return 0
	}
	return float64(s.MaxBatch)
}
