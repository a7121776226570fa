// Package pkservice passes calls on to plain services.
//
// A call goes through whole: any method, path, body and status, streaming both
// ways, less the headers that belong to one connection. A call that may not be
// repeated is tried again only if its verdict is NotRun, that is, if no byte of
// it can have reached a target.
package pkservice
