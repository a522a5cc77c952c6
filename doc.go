// Package fescuebank holds the domain types of the serving system and the
// interfaces whose implementations vary. Implementations live below internal/.
package fescuebank
