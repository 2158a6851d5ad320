"""Admission of client connections, and their eviction when capacity is short: decisions without I/O."""
