SHELL := /bin/bash
MODULES := core wire platform daisyshed daisyctl standin bench
BIN := $(CURDIR)/bin
GO := go

# Tests listed in KNOWN-RED.txt are named there as "test: Name" and passed over.
RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(RED),-skip '^($(RED))$$',)

.PHONY: all build test race demo soak mutants soak-processes hosted-soak bench capacity generate format lint clean

all: build test

build:
	@mkdir -p $(BIN)
	@for m in daisyshed daisyctl standin bench; do (cd $$m && $(GO) build -o $(BIN)/$$m .) || exit 1; done

test:
	@for m in $(MODULES); do (cd $$m && $(GO) test $(SKIP) ./...) || exit 1; done

race:
	@for m in core daisyshed; do (cd $$m && $(GO) test -race -short $(SKIP) ./...) || exit 1; done

demo: build
	@scripts/demo

SEED ?= 1
STEPS ?= 20000
soak:
	@cd bench && $(GO) run ./cmd/soak --seed $(SEED) --steps $(STEPS) $(ARGS)

# Runs the soak against cores that are broken on purpose; each must be noticed.
mutants:
	@cd bench && $(GO) run ./cmd/mutants $(ARGS)

SECONDS ?= 60
soak-processes: build
	@mkdir -p $(BIN)
	@cd bench && $(GO) build -o $(BIN)/processes ./cmd/processes
	@$(BIN)/processes --bin $(BIN) --seconds $(SECONDS) --seed $(SEED) $(ARGS)

# Runs real daemons on stand-ins of the platform, under faults.
SEEDS ?= 50
hosted-soak: build
	@cd bench && $(GO) build -o $(BIN)/hostedsoak ./cmd/hostedsoak
	@$(BIN)/hostedsoak --bin $(BIN)/daisyshed --seed $(SEED) --seeds $(SEEDS) $(ARGS)

bench: build
	@$(BIN)/bench $(ARGS)

# Measures the slopes that docs/CAPACITY.md is worked out from.
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
