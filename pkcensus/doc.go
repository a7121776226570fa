// Package pkcensus decides among how many entries what the whole fleet may use is shared, and whether the other entries
// count this one.
//
// A share is safe only if the entry that uses it is counted by all others, so a Census counts entries by any sign of them:
// their registration in the store, their messages, and what those say that they count. A Standing is the other side: an
// entry that may have gone unnoticed for longer than the others count it, since it was cut off or stood still, must not
// use its share. Place spreads the turns of entries that know one another by name.
package pkcensus
