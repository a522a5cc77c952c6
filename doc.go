// Package fescuebank declares the domain types of the serving system and the
// interfaces between its parts. Implementations are in internal/ and platform/.
package fescuebank
