# build, test, lint and run; `make run CONFIG=FILE` starts one node.
PYTHON = .venv/bin/python

.PHONY: build test lint run check clean

build:
	bash .ci/venv

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check .

check: build
	$(PYTHON) -m caperdeck check $(if $(CONFIG),--config=$(CONFIG))

run: build
	$(PYTHON) -m caperdeck serve $(if $(CONFIG),--config=$(CONFIG))

clean:
	rm -rf .venv .pytest_cache .ruff_cache
