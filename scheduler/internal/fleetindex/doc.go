// Package fleetindex holds the data structures behind a gateway's view of the fleet: a List of members of
// which any can be removed, Deadlines in their order, and a Ring that finds the members nearest to some
// points. Their cost does not grow with the fleet, or hardly. They hold no decision and no tuned value.
package fleetindex
