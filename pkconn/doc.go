// Package pkconn provides connections and HTTP transports that track whether a request was written.
//
// A verdict depends on whether any byte of a request may have left this VM, which net/http does not
// report. Connections of this package count the bytes written, and a Tracker compares the count
// before and after an exchange. Request bodies can be wrapped so that the transport does not retry
// a request by itself.
//
// The transport returns only responses whose head HTTP allows. A connection whose input ends before its
// peer has received the request fails its reader, as it may have been reset in the middle of the response.
package pkconn
