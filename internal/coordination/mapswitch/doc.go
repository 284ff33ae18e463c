// Package mapswitch changes the expert map of a rank group whose engines take
// orders and do not compare maps: all ranks arm the map for one step, which is
// held until every rank says that it is armed. Any order may get no answer and
// be carried out seconds later, after newer ones.
package mapswitch
