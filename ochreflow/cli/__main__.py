"""`python -m ochreflow.cli`: the command where it is not installed."""

import sys

from .main import main

if __name__ == "__main__":
    sys.exit(main())
