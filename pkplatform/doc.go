// Package pkplatform is the port to what the platform tells about VMs, and its
// HTTP adapter: the list of targets and the load reports of plain services.
package pkplatform
