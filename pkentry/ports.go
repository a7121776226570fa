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

// Store is the key-value service, with a count of the calls made.
type Store interface {
	pkstore.Store
	// Calls returns how many calls were sent, a watch counted as one.
	Calls() int64
	io.Closer
}

// Platform is the list of VMs and what plain services say of their load.
type Platform interface {
	pkplatform.VMList
	// Forget makes the next list come whole also where it is unchanged.
	Forget()
	// ServiceLoad returns the load of the service at an address.
	ServiceLoad(ctx context.Context, addr string) (pkplatform.ServiceLoad, error)
	io.Closer
}

// Engines is the model engines.
type Engines interface {
	pkengine.Engine
	io.Closer
}

// Services is the plain services.
type Services interface {
	// Do makes a call to a target that the chooser gives; the error is a
	// *pkverdict.Error.
	Do(ctx context.Context, c pkservice.Call, choose pkservice.Chooser, budget pkservice.Budget) (pkservice.Reply, error)
	io.Closer
}

// Ports are the outside systems that an entry speaks to; the entry closes them.
type Ports struct {
	Store    Store
	Platform Platform
	Engines  Engines
	Services Services
}

func (p Ports) close() error {
	return errors.Join(p.Store.Close(), p.Platform.Close(), p.Engines.Close(), p.Services.Close())
}
