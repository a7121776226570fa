// Package pksignal receives the signals of a daemon, from its first statement to the end of its process, and decides
// what each of them does: SIGTERM and SIGINT stop it gracefully once, SIGHUP has its settings file checked, and
// nothing else ends it.
package pksignal
