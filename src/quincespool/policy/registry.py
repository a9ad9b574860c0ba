"""Creates policies by the names that a class entry of the catalogue may use."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.least_loaded import LeastLoaded
from quincespool.policy.prefix_affinity import PrefixAffinity
from quincespool.policy.program_aware import ProgramAware
from quincespool.policy.round_robin import RoundRobin

if TYPE_CHECKING:
    from quincespool.policy.protocol import Policy

POLICY_NAMES = ("round_robin", "least_loaded", "prefix_affinity", "program_aware")
DEFAULT_POLICY = "program_aware"


class UnknownPolicyError(ValueError):
    """A class entry names a policy that does not exist; the message lists the known ones."""


class PolicyWeights(NamedTuple):
    """Weights of latency and cache reuse for a deployment; only their ratio matters."""

    latency_weight: float
    cache_weight: float


LATENCY_FIRST = PolicyWeights(latency_weight=1.0, cache_weight=0.5)
"""For deployments in which late answers cost more than computing prefixes again."""

CACHE_FIRST = PolicyWeights(latency_weight=0.5, cache_weight=1.0)
"""For deployments in which few engines serve long sessions."""


def make_policy(
    name: str,
    *,
    latency_weight: float = LATENCY_FIRST.latency_weight,
    cache_weight: float = LATENCY_FIRST.cache_weight,
    seed: int = 0,
) -> Policy:
    """Returns a new instance of the policy called `name`.

    Only `program_aware` uses the weights; `seed` sets where round robin starts and how ties
    are broken, so that daemons with different seeds do not all prefer the same backend server.

    Raises:
      UnknownPolicyError: if no policy is called `name`.
      ValueError: if a weight is negative or both are zero.
    """
    if latency_weight < 0 or cache_weight < 0 or latency_weight + cache_weight == 0:
        raise ValueError(f"weights {latency_weight}, {cache_weight}: need >= 0, one of them > 0")
    match name:
        case "round_robin":
            return RoundRobin(seed=seed)
        case "least_loaded":
            return LeastLoaded(seed=seed)
        case "prefix_affinity":
            return PrefixAffinity(seed=seed)
        case "program_aware":
            return ProgramAware(latency_weight=latency_weight, cache_weight=cache_weight, seed=seed)
    raise UnknownPolicyError(f"no policy {name!r}; there are {', '.join(POLICY_NAMES)}")
