"""Adapter that runs balancers for the simulator on the standard streams: `sim` in `deploy/balancer.toml`."""
