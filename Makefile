# One short command for each chore; each sets up what it needs.
PYTHON ?= python3
BIN := .venv/bin
DAEMONS ?= 3
ENDPOINTS ?= 2
SEED ?= 1
SECONDS ?= 20

.PHONY: demo fleet test check format bench soak clean

.venv/.ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: .venv/.ready
	$(BIN)/python -m standins.demo demo --daemons $(DAEMONS) --endpoints $(ENDPOINTS)
	$(BIN)/python -m standins.platformdemo

fleet: .venv/.ready
	$(BIN)/python -m standins.demo fleet --daemons $(DAEMONS) --endpoints $(ENDPOINTS)

test: .venv/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

check: .venv/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: .venv/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: .venv/.ready
	$(BIN)/python -m bench.main

soak: .venv/.ready
	$(BIN)/python -m standins.soak --seed $(SEED) --seconds $(SECONDS)

clean:
	rm -rf .venv build
