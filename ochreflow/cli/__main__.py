"""Entry point of `python -m ochreflow.cli`, for use where the command is not installed."""

import sys

from .main import main

if __name__ == "__main__":
    sys.exit(main())
