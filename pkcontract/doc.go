// Package pkcontract holds the contract tests that every adapter of a port must
// pass, and an in-memory store whose writes can be made to fail.
//
// The test of an adapter calls the function of its port. Fakes are run through the
// same tests, so that they behave like the real adapters.
package pkcontract
