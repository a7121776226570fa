// Package pkpace knows how much slower than its kind each engine is at present.
//
// It answers a load in which some engines take several times as long for each step as their
// kind does, for seconds, while others have room: paths that are chosen by what the kinds
// declare go on leading over them, prompts stand in line there, and answers are late by pauses
// that no dead engine explains. A few entries ask engines for their reports; what they learn is
// told to all entries as words with an age, and a word that is not repeated is forgotten.
package pkpace
