"""Assembly of the packages into a running process, and its configuration."""
