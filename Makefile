VENV ?= .venv
BIN := $(VENV)/bin
PYTEST_WORKERS ?= 4

.PHONY: help install test lint format quickstart bench chaos soak repeat docs

help: ## List the commands
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

install: $(VENV)/.installed ## Create the virtual environment

test: install ## Run the test suite
	$(BIN)/python -m pytest -n $(PYTEST_WORKERS) $(PYTEST_ARGS)

lint: install ## Check format, lint rules and types
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: install ## Format the code
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

quickstart: install ## Run a small fleet on loopback and its main job
	PATH="$(CURDIR)/$(BIN):$$PATH" bash examples/quickstart.sh

bench: install ## Measure; writes build/bench.jsonl
	mkdir -p build
	$(BIN)/python -m bench

chaos: install ## Run the whole-fleet failure test: make chaos SEED=1
	$(BIN)/python -m pytest -m chaos tests/test_chaos.py --chaos-seed $(or $(SEED),1) -s

soak: install ## Run seeds of the fault soak: make soak SEEDS=1-50 JOBS=3
	PYTHONPATH=.:src:platform:tests/platform $(BIN)/python -m tests.soak \
		--seeds $(or $(SEEDS),1-5) --jobs $(or $(JOBS),2) --logs build/soak

repeat: install ## Run the suite many times and count the failed runs: make repeat RUNS=20
	mkdir -p build
	PATH="$(CURDIR)/$(BIN):$$PATH" bash .ci/repeat $(or $(RUNS),20) $(PYTEST_WORKERS)

docs: install ## Generate the settings and metrics references
	$(BIN)/python -m thornlatch docs
