// Package rankagent runs beside each model engine on the users' platform. The
// agents of a rank group read which experts are in demand, and one of them
// leads the changes of the group's expert map.
package rankagent
