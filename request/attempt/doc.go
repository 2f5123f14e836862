// Package attempt runs one attempt of a request at one backend server and yields only frames of its own answer.
package attempt
