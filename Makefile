# make demo, make test and make capacity set up all they need in .venv.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Processes that run test files side by side; each file runs in one of them.
TEST_WORKERS := 4

.PHONY: demo test format capacity

$(VENV)/ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

demo: $(VENV)/ready
	$(BIN)/guavastream demo

test: $(VENV)/ready
	$(BIN)/ruff format --check guavastream tools conftest.py
	$(BIN)/ruff check guavastream tools conftest.py
	$(BIN)/lint-imports --no-cache
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist loadfile

format: $(VENV)/ready
	$(BIN)/ruff format guavastream tools conftest.py
	$(BIN)/ruff check --fix guavastream tools conftest.py

capacity: $(VENV)/ready
	$(BIN)/guavastream capacity --write docs/CAPACITY.md
