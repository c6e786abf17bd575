PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin
MINUTES ?= 30
SEED ?= random
FIRST ?= 1
SEEDS ?= 50

.PHONY: setup demo test lint types unit model-check soak fault-soak

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN)/pip install --quiet --requirement requirements.txt
	$(RUN)/pip install --quiet --no-deps --editable .
	touch $@

demo: setup
	$(RUN)/crowsill-lab demo

test: setup lint types unit model-check

lint: setup
	$(RUN)/ruff format --check src tests spec platform
	$(RUN)/ruff check src tests spec platform

types: setup
	$(RUN)/mypy

unit: setup
	$(RUN)/pytest

model-check: setup
	$(RUN)/python -m spec.check

fault-soak: setup
	$(RUN)/crowsill-lab soak --seed $(FIRST) --seeds $(SEEDS)

soak: setup
	$(RUN)/python -m tests.soak --minutes $(MINUTES) --seed $(SEED)
