"""Daemons that read the catalogue."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from specs.configuration_readers import Bounds
from specs.configuration_readers import Guards
from specs.configuration_readers import make_readers

if TYPE_CHECKING:
    from collections.abc import Callable

    from specs.checking import Specification

    Prove = Callable[[Specification[Any]], None]
    Refute = Callable[[Specification[Any], str], list[str]]

AGREE = "readers agree with the log"
BACK = "never goes back"
BACK_OVER_RESTART = "never goes back over a restart"
LOG_ONLY = Bounds(records=3, checkpoints=1)
WITH_PEERS = LOG_ONLY._replace(peers=True)
MUTANTS = [
    ("as_of_prefix", AGREE, LOG_ONLY),
    ("as_of_prefix", BACK_OVER_RESTART, LOG_ONLY),
    ("no_gap", AGREE, LOG_ONLY),
    ("no_gap", BACK_OVER_RESTART, LOG_ONLY),
    ("ready_at_end", BACK_OVER_RESTART, LOG_ONLY),
    ("adopt_only_newer", BACK, WITH_PEERS),
]


def test_readers_hold(prove: Prove) -> None:
    prove(make_readers(bounds=LOG_ONLY))


def test_readers_with_peers_hold_but_over_restarts(prove: Prove) -> None:
    specification = make_readers(bounds=WITH_PEERS)
    rules = {name: specification.rules[name] for name in (AGREE, BACK)}
    prove(specification._replace(rules=rules))


def test_restart_with_lagging_peer_goes_back(counterexample: Refute) -> None:
    """Symptom: a host serves an older version than it did before its restart.

    Events: it restarts with nothing while the log is out for it, and takes over the state of a peer
    that has read less than it had. Cause: nobody it can reach knows better; over with the outage.
    """
    steps = counterexample(make_readers(bounds=WITH_PEERS), BACK_OVER_RESTART)
    assert steps[-1].endswith("takes over from its peer")


@pytest.mark.parametrize(("guard", "rule", "bounds"), MUTANTS)
def test_readers_mutant(guard: str, rule: str, bounds: Bounds, counterexample: Refute) -> None:
    guards = Guards()._replace(**{guard: False})
    assert counterexample(make_readers(guards, bounds), rule)
