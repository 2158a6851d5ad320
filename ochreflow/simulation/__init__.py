"""Simulation of the lab's scenarios in simulated time: the decision module alone, with modelled nodes.

The simulation uses no socket, no system clock and no thread, so the same scenario, seed and module give the
same bytes.
"""
