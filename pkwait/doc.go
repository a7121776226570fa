// Package pkwait cancels groups of waiting calls. A watch that is idle cannot be told from one
// whose answer will never come, so it is canceled once another signal shows that it waits in vain.
package pkwait
