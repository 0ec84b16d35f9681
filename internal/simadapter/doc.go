// Package simadapter runs the cores of gateways on the simulator's protocol: it decodes lines into inputs of a core
// for each gateway, and encodes the core's actions into lines. It decides nothing and keeps nothing else.
package simadapter
