"""Test environment of a sidecar on loopback: fake nodes, a fake directory, clients, and a judge of the rules.

The program imports nothing from this package, and this package imports only `ochreflow.errors` from the
program.
"""
