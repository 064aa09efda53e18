# Two commands do everything on a fresh machine with Python 3.11: `make try` and `make test`.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed-$(shell cksum requirements.lock | cut -d' ' -f1)

.PHONY: try test lint types unit crowds format bench generate known-red regression

$(STAMP): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	touch $@

try: $(STAMP)
	$(BIN)/python -m samphirecleat try

test: lint types known-red unit crowds

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	HYPOTHESIS_PROFILE=ci $(BIN)/python -m pytest -m "not known_red and not crowd"

# Crowds of clients outside the limits against one process at a time, beside nothing else.
crowds: $(STAMP)
	$(BIN)/python -m pytest -m "crowd and not known_red"

# Faults that are known and not mended yet: run, printed, and kept out of the verdict.
known-red: $(STAMP)
	@if grep -vE '^[[:space:]]*(#|$$)' KNOWN-RED.txt; then $(BIN)/python -m pytest -m known_red || true; \
	else echo "KNOWN-RED.txt lists no fault."; fi

# Scores deployments with the users' bench, one after the other: BENCH is the program, SITES the files.
JOBS ?= 1
regression:
	@test -n "$(BENCH)" -a -n "$(SITES)" || { echo "regression: set BENCH and SITES"; exit 2; }
	@for site in $(SITES); do "$(BENCH)" score "$$site" --jobs $(JOBS) --why "regression run" || exit 1; done

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Only for developers: regenerates samphirecleat/peers/peers_pb2.py and peers_grpc.py.
generate:
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. samphirecleat/peers/peers.proto
