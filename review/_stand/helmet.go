package main

import _ "embed"

// digestRoute is the bulk route of the helmet logs' grown site: target 6,000 ms, pauses 200 ms.
//
//go:embed digest.json
var digestRoute string

// helmet are the bounds of the helmet logs' grown site.
func helmet() map[string]string {
	return map[string]string{"budgetRatio": "0.2", wire("extra"): "172", "budgetWindowS": "10", "leaseMs": "3000", "ceilingWindowS": "5", wire("over"): "1.1", "graceS": "8"}
}
