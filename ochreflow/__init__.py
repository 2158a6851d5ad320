"""ochreflow: a sidecar load balancer. The decisions, without I/O, stand in `ochreflow.policy`."""

from .policy.interface import Settings
from .policy.logic import Balancer

__all__ = ["Balancer", "Settings"]
