// Package pkcontract holds the tests that every adapter of a port must pass,
// and a store in memory that can lose, delay and refuse calls.
//
// An adapter's own test calls the function of its port. A fake is only of use
// if it passes the same tests as the real adapter, so fakes are run through
// them too.
package pkcontract
