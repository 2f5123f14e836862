// Package attempt runs one attempt of a request at one backend server and returns only frames of that attempt's
// response.
package attempt
