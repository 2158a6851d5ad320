"""ochreflow: a sidecar load balancer. Its balancing decisions, free of I/O, are in `ochreflow.policy`."""

from .policy.balancer import Balancer
from .policy.interface import Settings

__version__ = "0.2.0"

__all__ = ["Balancer", "Settings"]
