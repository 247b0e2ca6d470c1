// Package bookmaker has route books compiled in a process of its own, so that a hostile description can end only that one.
package bookmaker
