// Package pkmanifest holds what operators declare: the models and services
// that should be live, the pools of targets that serve them, and the client
// accounts that may use them.
//
// A manifest is read and checked as a whole; either it has no fault or it is
// refused with every fault and its line. Publishing gives it a revision. A VM
// adopts only a higher revision whose body has the digest that the head names.
package pkmanifest
