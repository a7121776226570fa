package pkservice

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkplatform"
)

// probeTimeout bounds the check whether a service still runs.
const probeTimeout = 500 * time.Millisecond

// unframedBody is the body of a response with neither a length nor chunks. It ends with the connection, which the end of
// the service's process ends as well.
type unframedBody struct {
	io.ReadCloser
	// probe returns an error if the service does not answer.
	probe func() error
	// end is the result of the check at the end of the body; nil before.
	end error
}

// Read reads the body. At its end, the error wraps io.ErrUnexpectedEOF if the service is gone.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end = io.EOF
		if err := (pkexchange.Body{TargetGone: pkexchange.IsConnectionError(b.probe())}).Check(); err != nil {
			b.end = err
		}
		return n, b.end
	}
	return n, err
}

// checkEnd makes a response without an end mark check at its end that the service at addr still runs.
func (p *Proxy) checkEnd(ctx context.Context, addr string, resp *http.Response) {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody {
		return
	}
	resp.Body = &unframedBody{ReadCloser: resp.Body, probe: func() error { return p.probe(ctx, addr) }}
}

// probe requests the load report of the service at addr; any response shows that it runs.
func (p *Proxy) probe(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+pkplatform.PathServiceLoad, http.NoBody)
	if err != nil {
		return err
	}
	req.Close = true // an idle connection may belong to a process that has ended
	resp, err := p.http.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
