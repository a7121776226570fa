package pkentry

import (
	"context"
	"errors"
	"io"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkplatform"
	"peridotknot.example/pkservice"
	"peridotknot.example/pkstore"
)

// Store is the key-value service with a call counter.
type Store interface {
	pkstore.Store
	// Calls returns the number of calls sent; a watch counts as one.
	Calls() int64
	io.Closer
}

// Platform provides the VM list and the load reports of plain services.
type Platform interface {
	pkplatform.VMList
	// Forget drops the cached version, so that the next call of VMs returns the full list even if it
	// is unchanged.
	Forget()
	// ServiceLoad fetches the load of the service at addr.
	ServiceLoad(ctx context.Context, addr string) (pkplatform.ServiceLoad, error)
	io.Closer
}

// Engines is the client for model engines.
type Engines interface {
	pkengine.Engine
	io.Closer
}

// Services is the client for plain services.
type Services interface {
	// Do sends a call to a target returned by choose; the error is a *pkverdict.Error.
	Do(ctx context.Context, c pkservice.Call, choose pkservice.Chooser, budget pkservice.Budget) (pkservice.Reply, error)
	io.Closer
}

// Ports holds the clients for the external systems that an entry uses; the entry closes them.
type Ports struct {
	Store    Store
	Platform Platform
	Engines  Engines
	Services Services
}

func (p Ports) close() error {
	return errors.Join(p.Store.Close(), p.Platform.Close(), p.Engines.Close(), p.Services.Close())
}
