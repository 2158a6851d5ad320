"""Searches for duplicated effects: sidecars on loopback with random faults, judged by the protocol's rule."""
