"""The `ochreflow` command."""
