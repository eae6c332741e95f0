// Package ivyhollow is the root of the product's packages; docs/architecture.md
// describes them. It holds no code of its own.
package ivyhollow
