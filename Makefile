# Cicadawell's build. `make demo` and `make test` do all set-up themselves.
MODULES := fleet router ctl standin platform
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))
TOOLS := $(shell go env GOPATH)/bin
GOFUMPT := $(TOOLS)/gofumpt
GOFUMPT_VERSION := v0.12.0
LINT := $(TOOLS)/golangci-lint
LINT_VERSION := v2.15.0
# Packages with property tests, the only ones that know rapid's flags.
PROPERTIES := $(addprefix ./,$(sort $(dir $(shell grep -rl --include='*_test.go' 'pgregory.net/rapid' $(MODULES)))))
# Tests that KNOWN-RED.txt lists; .ci/run prints the file.
KNOWN_RED := ^($(shell sed -n 's/^\(Test[A-Za-z0-9]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|'))$$
SOAK_SEED ?= $(shell date +%s)

.PHONY: build test tools format lint rules unit proof bounds demo soak measure clean

build:
	go build -o bin/ ./router ./ctl ./standin

$(GOFUMPT):
	go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

$(LINT):
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

tools: $(GOFUMPT) $(LINT)

format: $(GOFUMPT)
	@bad=$$($(GOFUMPT) -l $(MODULES)); if [ -n "$$bad" ]; then echo "gofumpt: $$bad"; exit 1; fi

lint: $(LINT)
	@set -e; for m in $(MODULES); do (cd $$m && $(LINT) run --allow-parallel-runners --config ../.golangci.yml ./...); done

# Rules of this repository that no linter knows.
rules:
	@bash .ci/rules

unit: build
	go test -race -skip 'Bound$$|$(KNOWN_RED)' $$(go list $(PACKAGES) | grep -v '/proof$$')

# Tests that start real processes run by themselves, one at a time, so that no other
# test takes their processor time.
proof: build
	go test -p 1 -skip '$(KNOWN_RED)' -count=1 ./standin/proof/... ./platform/proof/...

# Bounds on allocations and on ratios within one run; no race detector.
bounds:
	go test -p 1 -run 'Bound$$' -skip '$(KNOWN_RED)' -count=1 $$(go list $(PACKAGES) | grep -v '/proof$$')

test: format lint rules unit proof bounds

demo: build
	bin/standin demo --bin bin

# Tables and plots of docs/measure, made again from real processes.
measure: build
	bin/standin measure all --bin bin

soak: build
	@echo "seed $(SOAK_SEED)"
	go test -count=1 -run 'Property' $(PROPERTIES) -args -rapid.seed=$(SOAK_SEED) -rapid.checks=3000
	bin/standin soak --seed $(SOAK_SEED) --seeds 5

clean:
	rm -rf bin out
