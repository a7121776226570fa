// Package pkverdict says whether a request may have run.
//
// Each failed attempt ends with one of three verdicts. NotRun is a promise: no
// byte of the request reached a target, or the target said itself that it did
// not start. Only NotRun may be told to a caller as "not run", and only NotRun
// lets a call that is not idempotent be tried again. When in doubt the verdict
// is MayHaveRun.
package pkverdict
