// Package supervisor supervises the daemons of one installation: it starts them as
// processes of their own, restarts what dies, and rolls changes through them
// one at a time. What it does next is decided by package rollout.
package supervisor
