# Commands for developers. `make run` and `make test` are the two set-up commands of the README.

GO ?= go
GOBIN_DIR := $(shell $(GO) env GOPATH)/bin
GOLANGCI_LINT := $(GOBIN_DIR)/golangci-lint
GOLANGCI_LINT_VERSION := v2.15.0
PROTOC_GEN_GO := $(GOBIN_DIR)/protoc-gen-go
PROTOC_GEN_GO_VERSION := v1.36.12
VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X github.com/bilberryline/bilberryline/internal/setting.Version=$(VERSION)

.PHONY: all soak build run test lint fmt generate check-generated bench capacity tools clean

all: build

build:
	@mkdir -p bin
	$(GO) build -ldflags "$(LDFLAGS)" -o bin/ ./cmd/...

run: build
	bin/bilberry-demo --bin bin $(if $(ONCE),--once,)

test:
	$(GO) test -race -count=1 -timeout 15m $(if $(SKIP),-skip '^($(SKIP))$$',) ./...

lint: $(GOLANGCI_LINT)
	$(GOLANGCI_LINT) run ./...

fmt: $(GOLANGCI_LINT)
	$(GOLANGCI_LINT) fmt ./...

generate: $(PROTOC_GEN_GO)
	PATH="$(GOBIN_DIR):$$PATH" $(GO) generate ./...

check-generated: generate
	git diff --exit-code
	@test -z "$$(git status --porcelain --untracked-files=all)" || { git status --short; exit 1; }

bench: build
	@bin/bilberry-bench --bin bin --out out $(if $(BENCH),--bench $(BENCH),) $(if $(LONG),--long,)

soak: build
	BILBERRY_TEST_BIN=$(CURDIR)/bin BILBERRY_SOAK_SEEDS=$(or $(SEED),$(SEEDS),1..50) BILBERRY_SOAK_DIR=$(CURDIR)/out/soak \
		$(GO) test -count=1 -timeout 120m $(if $(SEED),-v,) ./platform/soak

capacity: build
	bin/bilberry-capacity --bin bin --docs docs $(if $(QUICK),--quick,)

$(GOLANGCI_LINT):
	$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

$(PROTOC_GEN_GO):
	$(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

tools: $(GOLANGCI_LINT) $(PROTOC_GEN_GO)

clean:
	rm -rf bin out
