GO ?= go
TOOL := $(GO) tool -modfile=tools/go.mod
GOPLS := golang.org/x/tools/gopls@v0.22.0 # not in tools/go.mod: its requirements clash with those of the other tools
PACKAGES := ./...
ONE_THREAD := ./internal/basilnode ./internal/basilshard# on several threads, goroutines of a synctest bubble that run due timers crash the race detector (Go 1.26)

.PHONY: help
help: ## Lists the targets.
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

.PHONY: build
build: ## Builds both programs into bin/.
	$(GO) build -o bin/basilstage .
	$(GO) build -o bin/basilstandin ./cmd/basilstandin

.PHONY: run
run: ## Runs the demonstration on embedded stand-ins.
	$(GO) run . demo

.PHONY: test
test: fmt-check lint vet generate-check ## Runs every check and all tests with the race detector.
	@tools/known-red.sh run
	@tools/test.sh $(ONE_THREAD)

.PHONY: fmt
fmt: ## Formats the sources.
	$(TOOL) gofumpt -l -w .

.PHONY: fmt-check
fmt-check: ## Fails on sources that gofumpt would change.
	@changed="$$($(TOOL) gofumpt -l .)"; if [ -n "$$changed" ]; then echo "run make fmt:"; echo "$$changed"; exit 1; fi

.PHONY: lint
lint: ## Runs revive with its default rules.
	$(TOOL) revive -config revive.toml $(PACKAGES)

.PHONY: vet
vet: ## Runs go vet.
	$(GO) vet $(PACKAGES)

.PHONY: generate
generate: ## Writes the generated enum names anew.
	$(GO) generate $(PACKAGES)

.PHONY: generate-check
generate-check: ## Fails when committed generated code is stale.
	@for f in $$(git ls-files '*_enumer.go'); do cp "$$f" "$$f.before"; done; \
	$(GO) generate $(PACKAGES); status=$$?; \
	for f in $$(git ls-files '*_enumer.go'); do \
		cmp -s "$$f" "$$f.before" || { echo "stale: $$f"; status=1; }; mv "$$f.before" "$$f"; done; \
	exit $$status

.PHONY: tools
tools: ## Installs gopls, which renames identifiers.
	$(GO) install $(GOPLS)

.PHONY: proofs
proofs: ## Runs the property tests for longer, on fresh seeds.
	RAPID_CHECKS=5000 $(GO) test -race -timeout 30m -run Property $(PACKAGES)

.PHONY: bench
bench: ## Prints the tables of docs/BENCHMARKS.md.
	$(GO) test -run '^$$' -bench . -benchtime 1s $(PACKAGES)
