"""Which of several sound backend servers gets a call.

Answers uneven load: a batch that is full makes a call wait while others have room. What is known of
the load of others is old where there are many daemons, and traffic between availability zones and
prompts that are read once more have their price, so the least busy one is not always the best.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

# With loads older than this, all daemons would take the one backend server that was the least busy,
# and fill it while the others idle; so each compares a few that it draws.
FRESH_LOADS_MS = 400
DRAWN = 3
# Part of its slots by which a backend server of the own zone may be busier and is still preferred:
# traffic between zones is paid for, and histories make most of it. On a quiet day 0.35 in place of
# 0.1 brought it from 0.015 to 0.011 GB and kept every program within its objective.
OTHER_ZONE_LOAD = 0.35
# How much busier, in parts of its slots, an engine that holds a program's cache may be than the
# least busy one. Reading a history again takes about as long as waiting for a third of a batch.
AFFINITY_SLACK = 0.34
# A process that has just started reads and computes slowly, as if a whole batch were ahead.
COLD_LOAD = 1.0
# Tells like ones apart by their usual latency: a tenth of a batch for each second.
LATENCY_LOAD_PER_MS = 1e-4
# Spreads ties, so that daemons with the same knowledge don't all choose alike.
TIE_LOAD = 0.05


class Candidate(NamedTuple):
    """A backend server that a call may be sent to.

    Attributes:
      busy: Calls under way there as far as known, as a part of its slots.
      is_near: Whether it is in the availability zone of the daemon.
      is_cold: Whether it has started so lately that it is still slow.
      latency_ms: Its usual latency; 0 if unknown.
    """

    backend_id: str
    busy: float
    is_near: bool
    is_cold: bool
    latency_ms: float


def place(
    candidates: Sequence[Candidate],
    *,
    preferred_id: str,
    loads_every_ms: int,
    rng: random.Random,
) -> str:
    """Returns the id of the candidate that gets the call.

    Args:
      candidates: At least one.
      preferred_id: The one that holds what the call would have to read again; may be none of them.
      loads_every_ms: How often the loads of other daemons are heard.
      rng: Draws and breaks ties.
    """
    compared = _draw(candidates, rng) if loads_every_ms > FRESH_LOADS_MS else candidates
    best = min(compared, key=lambda one: _cost(one, rng))
    for one in candidates:
        if one.backend_id == preferred_id and one.busy - best.busy <= AFFINITY_SLACK:
            return one.backend_id
    return best.backend_id


def _draw(candidates: Sequence[Candidate], rng: random.Random) -> list[Candidate]:
    """Returns those to compare: a few of the own zone and a few of all."""
    near = [one for one in candidates if one.is_near]
    drawn = rng.sample(near, min(DRAWN, len(near)))
    return drawn + rng.sample(candidates, min(DRAWN, len(candidates)))


def _cost(candidate: Candidate, rng: random.Random) -> float:
    far = 0.0 if candidate.is_near else OTHER_ZONE_LOAD
    cold = COLD_LOAD if candidate.is_cold else 0.0
    slow = candidate.latency_ms * LATENCY_LOAD_PER_MS
    return candidate.busy + far + cold + slow + rng.random() * TIE_LOAD
