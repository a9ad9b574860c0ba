"""Bytes of the messages between daemons, and the processor time of encoding and decoding them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from quincespool.bench import fixtures
from quincespool.bench.figures import load_average
from quincespool.bench.figures import spread
from quincespool.core.messages import AccountAsked
from quincespool.core.messages import AccountGranted
from quincespool.core.messages import Ack
from quincespool.core.messages import BackendSummary
from quincespool.core.messages import CommitGroup
from quincespool.core.messages import DispatchText
from quincespool.core.messages import ForwardText
from quincespool.core.messages import MembersTold
from quincespool.core.messages import PartitionAsked
from quincespool.core.messages import Ping
from quincespool.core.messages import ProgramsAsked
from quincespool.core.messages import ProgramsOver
from quincespool.core.messages import SummaryAsked
from quincespool.net.codec import decode
from quincespool.net.codec import encode

if TYPE_CHECKING:
    from quincespool.core.messages import Datagram
    from quincespool.core.messages import Message

ROUNDS = 7
TIMES = 200
ATTEMPT_ID = f"entry-001:{fixtures.START_MS}:123456"
PLANNED_DAEMONS = 740


def measure() -> dict[str, object]:
    """Returns, by kind of message, its bytes and the microseconds to encode and to decode it."""
    figures = {name: _figures(message) for name, message in _messages().items()}
    return {**figures, "load_average": load_average()}


def _figures(message: Message | Datagram) -> dict[str, object]:
    sender = "entry-001"
    data = encode(sender, message)
    assert decode(data).message == message
    times = max(1, TIMES * 500 // (500 + len(data)))
    return {
        "bytes": len(data),
        "encode_us": spread(_time_us(lambda: encode(sender, message), times)),
        "decode_us": spread(_time_us(lambda: decode(data), times)),
    }


def _time_us(action: Any, times: int) -> list[float]:
    taken = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        for _ in range(times):
            action()
        taken.append((time.process_time_ns() - started_ns) / 1_000 / times)
    return taken


def _messages() -> dict[str, Message | Datagram]:
    own = fixtures.update(1)
    other = fixtures.update(2)
    outcome = fixtures.program_entries("program-1", epoch=1, calls=1, at_ms=fixtures.START_MS)[2:]
    group = fixtures.batch("entry-001", 1, outcome)[len(b'{"groups":[') : -len(b"]}")]
    bare = fixtures.program_entries(
        "program-1", epoch=1, calls=1, at_ms=fixtures.START_MS, answer_bytes=0
    )[2:]
    bare_group = fixtures.batch("entry-001", 1, bare)[len(b'{"groups":[') : -len(b"]}")]
    ids = tuple(f"program-{number:08}" for number in range(50))
    members = tuple(fixtures.update(number) for number in range(PLANNED_DAEMONS))
    return {
        "Ping": Ping(1, "entry-001", (own,)),
        "Ping with one more update": Ping(1, "entry-001", (own, other)),
        "Ack": Ack(1, "entry-001", "entry-001", (own,)),
        "MembersTold, 740 members": MembersTold(members),
        "BackendSummary": BackendSummary("engine-00001", 1, 2, 3, 4, fixtures.START_MS),
        "SummaryAsked": SummaryAsked("engine-00001"),
        "PartitionAsked": PartitionAsked("partition/123", 7),
        "ProgramsAsked, 50 programs": ProgramsAsked(1, "engine-00001", ids),
        "ProgramsOver, none over": ProgramsOver(1, "engine-00001", (), ()),
        "AccountAsked": AccountAsked(
            "account-123", fixtures.START_MS, 9, 1, 2, 3, 400, 500, 60_000
        ),
        "AccountGranted": AccountGranted("account-123", fixtures.START_MS, 9, 1, 3, 500, 90_000, 0),
        "CommitGroup, one outcome": CommitGroup(1, "programs-1", group),
        "CommitGroup, one outcome without its body": CommitGroup(1, "programs-1", bare_group),
        "DispatchText": DispatchText(ATTEMPT_ID, "word"),
        "ForwardText": ForwardText(1, "word"),
    }
