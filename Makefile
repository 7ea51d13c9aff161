# Developer commands. `make demo` and `make test` set everything up themselves.
PYTHON ?= python3
VENV := .venv
PY := $(VENV)/bin/python
ENTRIES ?= 2
ENGINES ?= 4
SERVICES ?= 1

.PHONY: demo test serve lint model binary clean

$(VENV)/ready: requirements.txt requirements-dev.txt
	@$(PYTHON) -m venv $(VENV) >&2
	@$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt >&2
	@touch $@

demo: $(VENV)/ready
	@$(PY) -m tests.fakes.demo

test: $(VENV)/ready
	@$(PY) -m tests.run

serve: $(VENV)/ready
	@exec $(PY) -m tests.fakes.system --entries=$(ENTRIES) \
		--engines=$(ENGINES) --services=$(SERVICES)

lint: $(VENV)/ready
	@bash .ci/lint

model: $(VENV)/ready
	@$(PY) -m models --large

clean:
	rm -rf $(VENV) build dist
