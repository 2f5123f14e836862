// Package membership decides which control hosts vote in the replicated log, and by which single changes the membership gets there. It is
// a set of pure functions: what is known of the hosts and the time in, a change out.
package membership
