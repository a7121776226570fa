// Package pkplatform is the port to the platform's VM list and its HTTP client,
// which also reads the load reports of plain services.
package pkplatform
