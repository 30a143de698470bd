PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = $(wildcard packages/*) platform
CODE = packages platform tests
SCENARIOS ?=

.PHONY: setup demo emulate test lint bench capacity mutants clean

setup: $(VENV)/.done

$(VENV)/.done: requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
	    --no-build-isolation $(foreach p,$(PACKAGES),--editable ./$(p))
	touch $@

demo: setup
	PYTHONPATH=tests $(BIN)/python -m standins.demo
	PYTHONPATH=tests $(BIN)/python -m emulator.demo

emulate: setup
	PYTHONPATH=tests $(BIN)/python -m emulator --kill

lint: setup
	$(BIN)/ruff format --check --quiet $(CODE)
	$(BIN)/ruff check --quiet $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy packages/*/src platform/src

test: setup lint
	PYTHONPATH=tests $(BIN)/python -m benches.run --stable
	PYTHONPATH=tests $(BIN)/python tests/run_tests.py $(SCENARIOS)

mutants: setup
	PYTHONPATH=tests $(BIN)/python tests/mutants.py

bench: setup
	PYTHONPATH=tests $(BIN)/python -m benches.run

capacity: setup
	PYTHONPATH=tests $(BIN)/python -m benches.capacity

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache
