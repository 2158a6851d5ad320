"""The protocol-independent core: requests, attempts, endpoints, resource limits, lifecycle and counters."""
