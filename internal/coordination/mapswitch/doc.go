// Package mapswitch changes the expert map of a rank group whose engines accept
// orders but do not compare their maps. All ranks arm the new map for the same
// step (a numbered pass of the group), and one rank holds that step, so that no
// rank begins it, until every rank reports that it is armed. Any order may go
// unanswered and still be carried out seconds later, after newer orders.
package mapswitch
