SHELL := /bin/bash
MODULES := core wire platform daisyshed daisyctl standin bench
BIN := $(CURDIR)/bin
GO := go

# Skips the tests that KNOWN-RED.txt lists on lines of the form "test: Name" or
# "test: Name/Subtest"; they fail for a known fault.
KNOWN_RED := $(shell sed -n 's/^test: \(.*\)/^\1$$/p' KNOWN-RED.txt 2>/dev/null | sed 's:/:$$/^:' | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)',)

.PHONY: all build test hostile race demo soak mutants hosted-mutants soak-processes hosted-soak bench capacity generate format lint clean

all: build test

build:
	@mkdir -p $(BIN)
	@for m in daisyshed daisyctl standin bench; do (cd $$m && $(GO) build -o $(BIN)/$$m .) || exit 1; done

test:
	@for m in $(MODULES); do (cd $$m && $(GO) test $(SKIP) $$($(GO) list ./... | grep -v /hostile$$)) || exit 1; done
	@$(MAKE) --no-print-directory hostile

# Runs crowds of clients that break the protocol against real daemons, one crowd at a time.
hostile:
	@cd bench && $(GO) test -p 1 -parallel 1 $(SKIP) ./hostile

race:
	@for m in core daisyshed; do (cd $$m && $(GO) test -race -short $(SKIP) ./...) || exit 1; done

demo: build
	@scripts/demo

SEED ?= 1
STEPS ?= 20000
soak:
	@cd bench && $(GO) run ./cmd/soak --seed $(SEED) --steps $(STEPS) $(ARGS)

# Runs the soak against mutants of the core, each with one deliberate fault, and
# fails if any of the faults goes undetected.
mutants:
	@cd bench && $(GO) run ./cmd/mutants $(ARGS)

# Runs the soak of real processes against mutants of the hosted daemon.
hosted-mutants:
	@cd bench && $(GO) run ./cmd/mutants --hosted $(ARGS)

SECONDS ?= 60
soak-processes: build
	@mkdir -p $(BIN)
	@cd bench && $(GO) build -o $(BIN)/processes ./cmd/processes
	@$(BIN)/processes --bin $(BIN) --seconds $(SECONDS) --seed $(SEED) $(ARGS)

# Runs real daemons against stand-ins of the platform while injecting faults.
SEEDS ?= 50
hosted-soak: build
	@cd bench && $(GO) build -o $(BIN)/hostedsoak ./cmd/hostedsoak
	@$(BIN)/hostedsoak --bin $(BIN)/daisyshed --seed $(SEED) --seeds $(SEEDS) $(ARGS)

bench: build
	@$(BIN)/bench $(ARGS)

# Measures how costs grow with load; the figures in docs/CAPACITY.md are derived
# from these slopes.
CAPACITY ?=
capacity:
	@cd bench && $(GO) run ./cmd/capacity $(CAPACITY)

generate:
	@cd core && $(GO) generate ./...
	@cd wire && $(GO) generate ./...

format:
	@gofumpt -w $(MODULES)

lint:
	@out=$$(gofumpt -l $(MODULES)); if [ -n "$$out" ]; then echo "gofumpt: $$out"; exit 1; fi
	@for m in $(MODULES); do (cd $$m && $(GO) vet ./... && revive -set_exit_status ./...) || exit 1; done

clean:
	@rm -rf $(BIN)
