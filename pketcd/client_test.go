package pketcd_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkcontract"
	"peridotknot.example/pketcd"
	"peridotknot.example/pkstandin"
	"peridotknot.example/pkstore"
)

func TestClientIsAStore(t *testing.T) {
	pkcontract.Store(t, func(t *testing.T) pkstore.Store {
		srv := httptest.NewServer(pkstandin.NewKV())
		t.Cleanup(srv.CloseClientConnections)
		return pketcd.New(strings.TrimPrefix(srv.URL, "http://"), pkconn.DefaultOptions())
	})
}
