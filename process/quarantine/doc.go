// Package quarantine finds the parts of prompts on which engines crash, whatever else a request holds, and the requests of any
// kind that crash each server which runs them, so that these are rejected everywhere instead of being sent to one server
// after the other. A whole request is one more part, identified by its digest.
//
// Each entry host's Observer collects the requests under which a server has ended, and those that a server has survived.
// The leader's Tracker compares the crashes: a part is blocked once several crashes in a row have it in common and no
// request with it has survived meanwhile. Both are pure: events and time in, decisions out.
package quarantine
