# Two commands on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: setup demo test check bench

setup: .venv/.ready

.venv/.ready: requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
	    $(foreach d,$(wildcard packages/*) platform,-e $(d))
	touch $@

demo: setup
	$(BIN)/python -m burdockfront_bench.demo

check: setup
	$(BIN)/ruff format --check packages platform tests features examples conftest.py
	$(BIN)/ruff check packages platform tests features examples conftest.py
	$(BIN)/mypy
	$(BIN)/lint-imports

test: check
	$(BIN)/python -m pytest
	$(BIN)/behave

bench: setup
	$(BIN)/python -m burdockfront_bench.bench all
