// Package pkmanifest defines the manifest, in which operators declare the models
// and services to be served, the pools of targets that serve them, and the
// client accounts that may use them.
//
// A manifest is validated as a whole: it is valid, or it is rejected with all
// faults and their lines. Publishing assigns a revision. A VM adopts only a
// higher revision whose body has the digest recorded in the head.
package pkmanifest
