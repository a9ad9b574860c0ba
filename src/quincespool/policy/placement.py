"""Which of several sound backend servers gets a call.

Answers uneven load: a batch that is full makes a call wait while others have room. A daemon goes by
its own calls under way and by how long answers took to begin, which shows the calls of all others
too. It does not ask the others: what they have under way has changed by the time one hears of it.
Engines that are faster than others of their service get more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

# Part of its slots by which a backend server of the own zone may be busier and is still preferred:
# traffic between zones is paid for, and histories make most of it. Owners are spread unevenly over
# the zones, and with much more than this those of a crowded zone fill its engines first.
OTHER_ZONE_LOAD = 0.25
# How much busier, in parts of its slots, an engine that holds a program's cache may be than the
# least busy one. Reading a history again takes about as long as waiting for a third of a batch.
AFFINITY_SLACK = 0.34
# A process that has just started reads and computes slowly, as if a whole batch were ahead.
COLD_LOAD = 1.0
# What an answer's beginning that is late by the time of a whole call counts, in parts of the slots.
# A queue as long as the batch delays it by that much; half, since it is seen by chance, of few.
LATENESS_LOAD = 0.5
# What a new connection counts: it takes a round trip, a place at the backend server, and is paid
# for. Less than one more call in a batch of six, so that calls at the same time still spread.
CONNECT_LOAD = 0.1
# What it counts that an engine takes twice the usual time. A slow one still gets calls, as soon as
# those that are faster begin to fill.
SLOWNESS_LOAD = 0.4
# Spreads ties, so that daemons with the same knowledge don't all choose alike.
TIE_LOAD = 0.05


class Candidate(NamedTuple):
    """A backend server that a call may be sent to.

    Attributes:
      busy: Own calls under way there, as a part of its slots.
      is_near: Whether it is in the availability zone of the daemon.
      is_cold: Whether it has started so lately that it is still slow.
      is_connected: Whether a kept connection to it is idle.
      lateness: How much later than usual its answers begin, in usual times of a whole call.
      slowness: How many times the usual time between events it takes.
    """

    backend_id: str
    busy: float
    is_near: bool
    is_cold: bool
    is_connected: bool
    lateness: float
    slowness: float = 1.0


def place(candidates: Sequence[Candidate], *, preferred_id: str, rng: random.Random) -> str:
    """Returns the id of the candidate that gets the call.

    Args:
      candidates: At least one.
      preferred_id: The one that holds what the call would have to read again; may be none of them.
      rng: Breaks ties.
    """
    best = min(candidates, key=lambda one: _cost(one, rng))
    for one in candidates:
        if one.backend_id == preferred_id and _load(one) - _load(best) <= AFFINITY_SLACK:
            return one.backend_id
    return best.backend_id


def _cost(candidate: Candidate, rng: random.Random) -> float:
    far = 0.0 if candidate.is_near else OTHER_ZONE_LOAD
    connect = 0.0 if candidate.is_connected else CONNECT_LOAD
    return _load(candidate) + far + connect + rng.random() * TIE_LOAD


def _load(candidate: Candidate) -> float:
    cold = COLD_LOAD if candidate.is_cold else 0.0
    late = LATENESS_LOAD * candidate.lateness
    return candidate.busy + cold + late + SLOWNESS_LOAD * (candidate.slowness - 1)
