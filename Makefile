# Tasks for developers and CI. `make demo` runs a demonstration, `make test` runs all checks.
GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.22.0
BIN := $(CURDIR)/bin
LINT := $(BIN)/golangci-lint
GOPLS := $(BIN)/gopls
GO ?= go
SEEDS ?= 3
STATES ?= 600000
SEED ?= 0
SECONDS ?= 5

.PHONY: all-tests soak soak-upgrade setup tools build fmt lint unit race test demo speed measure slopes check

setup: $(LINT)

$(LINT):
	GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

build:
	CGO_ENABLED=1 $(GO) build -o $(BIN)/ ./cmd/...

# gopls renames identifiers throughout the module: bin/gopls rename -w FILE:LINE:COLUMN NEW
tools: $(LINT) $(GOPLS)

$(GOPLS):
	GOBIN=$(BIN) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

fmt: $(LINT)
	$(LINT) fmt

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run

# unit runs the tests with processes also if another test has failed, those that measure the memory of
# processes alone at the end.
unit:
	@status=0; \
	$(GO) test $$($(GO) list ./... | grep -vE '/(test|platform/process)(/|$$)') || status=1; \
	$(GO) test -count=1 -parallel 4 -skip '^TestCrowd' ./test/... ./platform/process || status=1; \
	$(GO) test -count=1 -p 1 -run '^TestCrowd' ./platform/process || status=1; \
	exit $$status

# slopes measures how resource use grows with the fleet, and prints an extrapolation for the
# target fleet (docs/CAPACITY.md).
slopes:
	$(GO) run ./cmd/chiveramp-slopes

# check looks for violated invariants in up to STATES states of each model (docs/design/checking.md).
check:
	$(GO) run ./cmd/chiveramp-check run --states $(STATES)

# test passes over the tests that KNOWN-RED.txt lists, and prints them.
test:
	scripts/test.sh

all-tests: lint unit

measure:
	$(GO) run ./cmd/chiveramp-measure

# soak injects faults into real processes on loopback: make soak SEED=7 SECONDS=20
soak:
	$(GO) test -count=1 -v -run 'TestSoak$$' ./platform/process -seed $(SEED) -seconds $(SECONDS)

demo: build
	scripts/demo.sh

speed: build
	scripts/speed.sh

# soak-upgrade injects faults while instances are replaced by the production build and back:
# make soak-upgrade SEED=7 SECONDS=20
soak-upgrade:
	$(GO) test -count=1 -v -run 'TestSoakUpgrade$$' ./platform/process -seed $(SEED) -seconds $(SECONDS)
