PYTHON ?= python3
VENV ?= .venv
SITE ?= tifawt
SEED ?= 1
export PIP_CONSTRAINT := $(CURDIR)/constraints.txt

.PHONY: demo test replay bench

$(VENV)/runtime.stamp: pyproject.toml constraints.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -e .
	touch $@

$(VENV)/dev.stamp: $(VENV)/runtime.stamp
	$(VENV)/bin/pip install -q -e '.[dev,reports]'
	touch $@

demo: $(VENV)/runtime.stamp
	$(VENV)/bin/anvilcove demo --site=$(SITE) --seed=$(SEED)

test: $(VENV)/dev.stamp
	$(VENV)/bin/python tools/run_checks.py

replay: $(VENV)/runtime.stamp
	$(VENV)/bin/anvilcove replay --all=traces

bench: $(VENV)/dev.stamp
	$(VENV)/bin/anvilcove bench compare
