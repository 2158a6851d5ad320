"""Entry point of the sidecar (`run`): `python -m ochreflow [--config FILE]`."""

import sys

from .app.tls_placeholder import leave_out_tls

leave_out_tls()

from .app.process import main  # noqa: E402  # imports the event loop


def start(arguments: list[str]) -> int:
    if not arguments:
        return main()
    if len(arguments) == 2 and arguments[0] == "--config":
        return main(arguments[1])
    print("ochreflow: usage: python -m ochreflow [--config FILE]", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(start(sys.argv[1:]))
