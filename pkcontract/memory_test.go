package pkcontract

import (
	"testing"

	"peridotknot.example/pkstore"
)

func TestMemoryContract(t *testing.T) {
	TestStore(t, func(*testing.T) pkstore.Store { return NewMemory() })
}
