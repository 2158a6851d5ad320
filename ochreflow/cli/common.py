"""Shared by the commands: exit codes, the format of examples, and the parsing of addresses."""

from __future__ import annotations

import click

EXIT_OK = 0
EXIT_FAILURE = 1  # the command could not be carried out
EXIT_USAGE_ERROR = 2  # an invalid option, argument or file
EXIT_INTERRUPTED = 130  # the command was ended by SIGINT; shells report this code


def example(text: str) -> str:
    """Format an example for the end of a command's help page."""
    return f"\b\nExample:\n  {text}"


def parse_address(text: str) -> tuple[str, int]:
    """Split "HOST:PORT" into a numeric IPv4 host and a port from 0 to 65535, or raise UsageError."""
    from ..core.address import split_address

    try:
        return split_address(text, min_port=0)
    except ValueError:
        message = f'ADDRESS: found "{text}", wanted an address and a port, such as "127.0.0.1:9100"'
        raise click.UsageError(message) from None
