// Package experiment runs a day, as package scenario describes it, on a simulated cluster and measures the result: the real
// code of proxies, agents and replicas on a clock, a network and disks that are simulated.
package experiment
