// Package pkserver serves HTTP requests with limits that may change while it runs.
package pkserver
