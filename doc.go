// Package ivyhollow is the root of the product's packages, which
// docs/architecture.md describes. It contains tests only.
package ivyhollow
