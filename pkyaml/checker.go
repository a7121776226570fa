package pkyaml

// Checker collects the faults found while a decoded file is validated.
type Checker struct {
	Doc    Doc
	faults Faults
}

// Report records a fault at the value that path refers to.
func (c *Checker) Report(text string, path ...any) {
	c.faults = append(c.faults, c.Doc.Fault(text, path...))
}

// Require records a fault at the value that path refers to unless ok is true.
func (c *Checker) Require(ok bool, text string, path ...any) {
	if !ok {
		c.Report(text, path...)
	}
}

// Err returns the collected faults as a Faults, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}
