"""Runs the balancers behind the simulator's wire, on the standard streams: `sim` of the deploy file."""
