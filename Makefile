# Every target sets up what it needs; VENV may name another folder.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.stamp

.PHONY: setup test lint format demo soak measure binary clean
.DELETE_ON_ERROR:

setup: $(STAMP)

$(STAMP): requirements.lock $(wildcard libs/*/pyproject.toml platform/pyproject.toml) tools/link_workspace.py
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(PY) tools/link_workspace.py
	touch $(STAMP)

format: $(STAMP)
	$(VENV)/bin/ruff format libs platform tools
	$(VENV)/bin/ruff check --fix libs platform tools

lint: $(STAMP)
	$(VENV)/bin/ruff format --check libs platform tools
	$(VENV)/bin/ruff check libs platform tools

test: lint
	$(PY) tools/run_tests.py

demo: $(STAMP)
	$(PY) -m hemlockhoist.standins.demo $(if $(KEEP),--keep)

SEED ?= 1
SECONDS ?= 20
soak: $(STAMP)
	$(PY) -m hemlockhoist.standins.soak --seed $(SEED) --seconds $(SECONDS)
	$(PY) -m hemlockhoist.standins.soak_processes --seed $(SEED) --seconds $(SECONDS)
	$(PY) -m hemlockhoist.standins.published.soak --seed $(SEED) --seconds $(SECONDS)

measure: $(STAMP)
	$(PY) -m hemlockhoist.standins.measure

binary: $(STAMP)
	$(PY) tools/build_binary.py

clean:
	rm -rf build dist .ruff_cache .hypothesis
