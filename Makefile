# Every target does its own set-up from requirements/lock.txt.
PYTHON ?= python3
STAY ?= 0
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.stamp

.PHONY: setup test lint types unit demo format protocol binary bench faults

setup: $(STAMP)

$(STAMP): requirements/lock.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/lock.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

test: lint types unit

lint: $(STAMP)
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/flake8 src tests tools

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/pytest

demo: $(STAMP)
	$(BIN)/rattanspoke demo --stay $(STAY)

format: $(STAMP)
	$(BIN)/ruff format src tests tools
	$(BIN)/ruff check --fix src tests tools

protocol: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc --proto_path=proto \
	  --python_out=src/rattanspoke/peering \
	  --grpc_python_out=src/rattanspoke/peering proto/peer.proto
	sed -i 's/^import peer_pb2/from . import _peer_pb2/' \
	  src/rattanspoke/peering/peer_pb2_grpc.py

# One file with every dependency; it unpacks into SHIV_ROOT, a memory directory.
binary: $(STAMP)
	mkdir -p dist
	$(BIN)/shiv --console-script rattanspoke --output-file dist/rattanspoke \
	  --compressed --reproducible --python '/usr/bin/env python3' \
	  -r requirements/runtime.txt .
	rm -rf /dev/shm/rattanspoke-check && mkdir /dev/shm/rattanspoke-check
	$(BIN)/python -m tools.check_binary /dev/shm/rattanspoke-check
	rm -rf /dev/shm/rattanspoke-check

bench: $(STAMP)
	$(BIN)/python -m tools.measure_clients
	$(BIN)/python -m tools.measure_slopes

faults: $(STAMP)
	$(BIN)/python -m tests.matrix
