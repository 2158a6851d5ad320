"""Requests taken and owed an answer, attempts, limits, life-cycle and counters, whatever the protocol."""
