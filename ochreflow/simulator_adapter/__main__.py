"""Entry point of the adapter: `python -m ochreflow.simulator_adapter`."""

from __future__ import annotations

import sys

from .host import main

if __name__ == "__main__":
    sys.exit(main())
