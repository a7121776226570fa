package pkcontract

import (
	"testing"

	"peridotknot.example/pkstore"
)

func TestMemoryContract(t *testing.T) {
	Store(t, func(*testing.T) pkstore.Store { return NewMemory() })
}
