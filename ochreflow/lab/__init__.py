"""Stand-ins for what surrounds a sidecar, on loopback: nodes, a directory, clients, and a judge of the rules.

Nothing here is imported by the program, and nothing of the program is imported here.
"""
