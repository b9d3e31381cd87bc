PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: venv check test soak demo lint binary

# The mark names the kind of machine, as the folder may come from another one.
INSTALLED := $(VENV)/.installed-$(shell uname -m)

venv: $(INSTALLED)

$(INSTALLED): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps -e .
	touch $@

lint: venv
	$(BIN)/ruff format --check src
	$(BIN)/ruff check src
	$(BIN)/mypy
	$(BIN)/lint-imports

test: venv
	$(BIN)/pytest -n 4

check: lint test

soak: venv
	$(BIN)/pytest -n 2 src/heatherpier/platform/tests/test_soak.py

demo: venv
	$(BIN)/heatherpier bench demo $(ARGS)

binary: venv
	$(BIN)/python tools/build_binary.py dist/heatherpier
	$(BIN)/python tools/check_binary.py dist/heatherpier
