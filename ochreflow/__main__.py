"""The real sidecar (`run`)."""

import sys

from .app.process import main

if __name__ == "__main__":
    sys.exit(main())
