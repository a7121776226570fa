// Package pkconn opens connections whose use can be accounted for.
//
// A verdict rests on whether any byte of a request may have left this VM. The
// HTTP client does not say, so connections from this package count what was
// written, and a Tracker compares the count before and after an exchange. The
// transports made here never repeat a request by themselves.
package pkconn
