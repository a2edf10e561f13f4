PYTHON ?= python3
BIN := .venv/bin
READY := .venv/.ready
SOURCES := chiveworks standins benchmarks examples tests

.DEFAULT_GOAL := help

help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/' | expand -t 14

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(READY)

setup: $(READY) ## create the virtual environment with all dependencies

format: $(READY) ## format the sources
	$(BIN)/ruff format -q $(SOURCES)

lint: $(READY) ## run the formatter, linter and type checks
	$(BIN)/ruff format --check -q $(SOURCES)
	$(BIN)/flake8 --jobs 6 $(SOURCES)
	$(BIN)/mypy chiveworks standins

test: lint ## run all checks and tests
	$(BIN)/python -m tests.run_suite

demo: $(READY) ## run the demo with real processes (under a minute)
	$(BIN)/python -m examples.demo

promises: $(READY) ## check the promises under injected faults (SEEDS=n: more seeds, MUTANTS=1: mutation tests)
	$(BIN)/python -m tests.promises $(if $(SEEDS),--seeds $(SEEDS)) $(if $(MUTANTS),--mutants)

bench: $(READY) ## benchmark decisions against naive ones, and the request path
	$(BIN)/python -m benchmarks.bench_decisions
	$(BIN)/python -m benchmarks.bench_near_waits
	$(BIN)/python -m benchmarks.bench_request_path

bench-scale: $(READY) ## benchmark how decisions, control and peers scale with size
	$(BIN)/python -m benchmarks.bench_scale
	$(BIN)/python -m benchmarks.bench_control_scale
	$(BIN)/python -m benchmarks.bench_membership
	$(BIN)/python -m benchmarks.bench_claim_rounds
	$(BIN)/python -m benchmarks.bench_near_rounds

bench-idle: $(READY) ## measure CPU, memory and traffic of idle entry processes
	$(BIN)/python -m benchmarks.bench_idle

proto: $(READY) ## regenerate the gRPC code from peer.proto
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. chiveworks/membership/peer.proto

binary: $(READY) ## build dist/chiveworks, a single executable
	mkdir -p dist
	$(BIN)/pex . --constraints constraints.txt --use-pip-config \
		--console-script chiveworks --venv --sh-boot -o dist/chiveworks

.PHONY: help setup format lint test demo promises bench bench-scale bench-idle binary proto
