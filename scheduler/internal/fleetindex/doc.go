// Package fleetindex provides the data structures in which a scheduler keeps the members of the fleet: List,
// an unordered list with removal of any member; Deadlines, a queue ordered by time; and Ring, which finds the
// members nearest to given points. The cost of their operations grows little or not at all with the size of
// the fleet. The package contains no scheduling policy and no tuned parameters.
package fleetindex
