SHELL := /bin/bash
GO ?= go
BIN := bin
PROGRAMS := chestnut-router chestnut-controller chestnut-admin chestnutctl chestnut-standin
PORT_OFFSET ?= 0
EXAMPLE ?= demo
export PORT_OFFSET EXAMPLE

.PHONY: all build test lint check bench soak soak-node demo up down generate setup clean

all: build

# setup downloads the modules in go.mod.
setup:
	$(GO) mod download

build:
	@mkdir -p $(BIN)
	CGO_ENABLED=1 $(GO) build -o $(BIN)/ ./cmd/...

# Entries of KNOWN-RED.txt, the known faults that are not fixed yet, are printed.
# An entry that starts with "TestName:" or "TestName/subtest:" skips that test.
KNOWN_RED := $(shell awk -F: '/^Test[A-Za-z0-9_\/]*:/{n=split($$1,p,"/"); s="^" p[1] "$$"; for(i=2;i<=n;i++) s=s "/^" p[i] "$$"; print s}' KNOWN-RED.txt | paste -sd '|' -)

test: build
	@grep -v '^#' KNOWN-RED.txt || true
	$(GO) test -count=1 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

lint:
	@test -z "$$(gofmt -l api cmd internal platform test)" || { gofmt -l api cmd internal platform test; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	bash scripts/check-platform-words.sh

# check is what CI runs.
check: lint test

bench:
	@bash scripts/bench.sh

# soak injects random faults. Variables: SEED and DURATION.
SEED ?= 1
DURATION ?= 60s
soak: build
	$(BIN)/chestnut-bench soak --seed $(SEED) --duration $(DURATION)

# soak-node injects faults into nodes of the platform. Variables: SEED, SEEDS and
# DURATION.
SEEDS ?= 1
soak-node: build
	$(GO) test -count=1 -timeout 0 -run TestSoak -v ./platform -args -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.time=$(DURATION)

demo: build
	@bash scripts/demo.sh

up: build
	@bash scripts/up.sh

down:
	@bash scripts/down.sh

# generate needs protoc (package protobuf-compiler); its output is committed. The
# published descriptor set is replaced only if the schema is compatible with it.
generate:
	@mkdir -p $(BIN)/plugins
	$(GO) build -o $(BIN)/plugins/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/$(BIN)/plugins:$$PATH" protoc -I . --go_out=. --go_opt=module=chestnutgauge \
		--go-grpc_out=. --go-grpc_opt=module=chestnutgauge \
		api/chestnutgauge/v1/chestnutgauge.proto internal/peer/peerpb/peer.proto
	$(GO) test ./api/...
	protoc -I . --descriptor_set_out=api/chestnutgauge/v1/chestnutgauge.binpb api/chestnutgauge/v1/chestnutgauge.proto

clean:
	rm -rf $(BIN) .run
