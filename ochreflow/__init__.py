"""ochreflow: a sidecar load balancer. The decisions, without I/O, stand in `ochreflow.policy`."""

from .policy.interface import Settings
from .policy.logic import Balancer

__version__ = "0.2.0"

__all__ = ["Balancer", "Settings"]
