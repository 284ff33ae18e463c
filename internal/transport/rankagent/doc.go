// Package rankagent implements the agent that runs beside each model engine on
// the users' platform. The agents of a rank group sample how often each expert
// is chosen. One agent leads the group: it moves or copies experts between the
// ranks by changing the group's expert map, and completes a change that another
// leader left unfinished. A leader holds a lock on every agent, which expires
// when the leader is silent.
package rankagent
