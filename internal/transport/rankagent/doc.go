// Package rankagent implements the agent that runs beside each model engine on
// the users' platform. The agents of a rank group sample how often each expert
// is chosen. One agent leads the group: it moves or copies experts between the
// ranks by changing the group's expert map, and completes or undoes a change that
// another leader left unfinished. A leader holds a lock on every agent, which
// expires when the leader is silent.
//
// During a change one rank holds a step, which is a numbered pass of the group:
// no rank begins the step until the hold is released. All ranks are armed for
// that step, on which they switch to the new map. The group is open while all its
// ranks are present, and its epoch increases each time it forms.
package rankagent
