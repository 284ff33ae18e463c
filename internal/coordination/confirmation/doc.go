// Package confirmation decides until when an entry may rely on the configuration that it has, and
// serve the keys of client accounts by it.
//
// An entry knows each version that the store acknowledged up to its latest confirmation. A store
// that comes back from a copy may have lost versions that were written later, so that there is a
// gap between that confirmation and the restore. How the calls of the entry failed meanwhile tells
// nothing of it: the store may have served the operator all the while. A gap ends with a fact about
// the store: the operator has written since, a confirmation is recorded in the store, another entry
// is confirmed, or the operator has had time to write.
//
// All times are boot times, which go on while the machine is suspended.
package confirmation
