// Package membership decides, for a control group whose hosts find each other
// through seeds, when a new group is formed and how its members change as hosts
// are lost, wiped, added and replaced. Its functions are pure.
package membership
