// Package simadapter connects the cores of simulated gateways to the simulator's line protocol. It decodes lines into
// inputs of the core of the gateway concerned and encodes the actions of the cores into lines. It makes no decisions
// and keeps no state of its own about requests or workers.
package simadapter
