"""Chooses which of several healthy backend servers gets a call.

Avoids uneven load: at an engine whose batch is full a call waits while other engines have free
slots. A daemon decides by its own calls in flight and by the time to the first byte of recent
answers, which depends on the calls of all other daemons, too. It does not query other daemons:
their calls in flight have changed by the time that an answer arrives. Engines that are faster than
others of their service get more calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

# A backend server of the daemon's zone is preferred while it is busier than one of another zone by
# at most this part of its slots: traffic between zones is billed, and most of it is the histories
# of programs. Owners are spread unevenly over the zones, and with a much higher value the owners of
# a zone that has many of them fill its engines first.
OTHER_ZONE_LOAD = 0.25
# How much busier, in parts of its slots, an engine that holds a program's cache may be than the
# least busy one. Computing a history again takes about as long as waiting for a third of a batch.
AFFINITY_SLACK = 0.34
# Load added for a process that has just started: it reads and computes requests as slowly as if a
# call had to wait for a whole batch.
COLD_LOAD = 1.0
# Load, in parts of the slots, added for answers that begin later than usual by the time of a
# complete call. A queue as long as the batch delays answers by that much; the load is only half of
# that queue's, since the lateness is measured on a few calls and varies by chance.
LATENESS_LOAD = 0.5
# Cost of opening a connection, which takes a round trip, uses one of the connections that the
# backend server accepts, and is billed. It is less than one more call in a batch of six, so that
# concurrent calls still spread.
CONNECT_LOAD = 0.1
# Load added for an engine whose time between events is twice the usual one. A slow engine still
# gets calls once the faster ones begin to fill.
SLOWNESS_LOAD = 0.4
# Upper bound of the random cost that breaks ties, so that daemons with the same data don't all
# choose the same backend server.
TIE_LOAD = 0.05


class Candidate(NamedTuple):
    """A backend server that a call may be sent to.

    Attributes:
      busy: This daemon's calls in flight there, as a part of its slots.
      is_in_same_zone: Whether it is in the availability zone of the daemon.
      is_cold: Whether it has started so recently that it is still slow.
      has_idle_connection: Whether an open connection to it is idle.
      lateness: How much later than usual its answers begin, in multiples of the usual time of a
        complete call.
      slowness: Its time between events, in multiples of the usual one of its service.
    """

    backend_id: str
    busy: float
    is_in_same_zone: bool
    is_cold: bool
    has_idle_connection: bool
    lateness: float
    slowness: float = 1.0


def place(candidates: Sequence[Candidate], *, preferred_id: str, rng: random.Random) -> str:
    """Returns the id of the candidate that gets the call.

    Args:
      candidates: Backend servers to choose from; at least one.
      preferred_id: The engine that holds the program's cache, without which the history is computed
        again; need not be among the candidates.
      rng: Random numbers that break ties.
    """
    best = min(candidates, key=lambda one: _cost(one, rng))
    for one in candidates:
        if one.backend_id == preferred_id and _load(one) - _load(best) <= AFFINITY_SLACK:
            return one.backend_id
    return best.backend_id


def _cost(candidate: Candidate, rng: random.Random) -> float:
    other_zone = 0.0 if candidate.is_in_same_zone else OTHER_ZONE_LOAD
    connect = 0.0 if candidate.has_idle_connection else CONNECT_LOAD
    return _load(candidate) + other_zone + connect + rng.random() * TIE_LOAD


def _load(candidate: Candidate) -> float:
    cold = COLD_LOAD if candidate.is_cold else 0.0
    late = LATENESS_LOAD * candidate.lateness
    return candidate.busy + cold + late + SLOWNESS_LOAD * (candidate.slowness - 1)
