"""Spreads reads evenly over instances with load information that is out of date."""

from heatherpier.balancing._choice import Candidate, choose
from heatherpier.balancing._estimates import LoadEstimates
from heatherpier.balancing._metrics import BalancingMetrics

__all__ = ["BalancingMetrics", "Candidate", "LoadEstimates", "choose"]
