"""ochreflow: the decisions of a sidecar load balancer, without I/O."""

from .interface import Settings
from .logic import Balancer

__all__ = ["Balancer", "Settings"]
