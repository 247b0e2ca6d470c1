// Package steward decides who in a farm does the work that one does for all, who takes it over, and by whose word.
package steward
