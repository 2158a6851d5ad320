"""A tool that stands between sockets and breaks what goes through, the same way for the same seed."""
