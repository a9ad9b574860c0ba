"""Members, catalogue entries and log records of a deployment of a given size."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from quincespool.core.call import Call
from quincespool.core.call import CallKind
from quincespool.core.ledger.program_record import next_chain
from quincespool.core.members import Member
from quincespool.core.messages import AccountAsked
from quincespool.core.messages import AccountGranted
from quincespool.core.messages import MemberUpdate
from quincespool.core.placement import BACKEND_PREFIX
from quincespool.core.placement import PARTITION_PREFIX
from quincespool.core.placement import STREAM_PREFIX
from quincespool.core.placement import desired_holder
from quincespool.core.placement import partition_of
from quincespool.core.placement import stream_members
from quincespool.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quincespool.bench.size import Size

START_MS = 1_700_000_000_000
FIRST_PEER_PORT = 20_000
GRANT_MS = 30_000
PROMPT_BYTES = 1_200
ANSWER_BYTES = 1_200
"""290 tokens of four bytes, the mean of 11 million tokens over 38,000 requests a second."""
CLASS = "assistant"


def member_id(number: int) -> str:
    """Returns the id of a daemon."""
    return f"entry-{number:03}"


def settings(size: Size, number: int) -> Settings:
    """Returns the settings of a daemon."""
    return Settings(
        member_id=member_id(number),
        zone=f"zone-{number % 20:02}",
        host="127.0.0.1",
        http_port=10_000 + number,
        peer_port=FIRST_PEER_PORT + number,
        log_address="127.0.0.1:9000",
        stream_count=size.streams,
        partition_count=size.partitions,
        log_appends_per_s=4 * size.streams,
    )


def update(number: int, *, incarnation: int = START_MS, state: str = "alive") -> MemberUpdate:
    """Returns news of a daemon."""
    return MemberUpdate(
        member_id=member_id(number),
        incarnation=incarnation,
        refutation=0,
        zone=f"zone-{number % 20:02}",
        host="127.0.0.1",
        http_port=10_000 + number,
        peer_port=FIRST_PEER_PORT + number,
        state=state,
        draining=False,
    )


def members(size: Size) -> tuple[Member, ...]:
    """Returns all daemons as placement sees them."""
    return tuple(
        Member(
            member_id=one.member_id,
            incarnation=one.incarnation,
            zone=one.zone,
            host=one.host,
            http_port=one.http_port,
            peer_port=one.peer_port,
        )
        for one in map(update, range(size.daemons))
    )


def streams_shared(size: Size) -> dict[int, int]:
    """Returns in how many streams each daemon shares."""
    shared = dict.fromkeys(range(size.daemons), 0)
    daemons = tuple(members(size))
    for stream in range(size.streams):
        for member in stream_members(f"{STREAM_PREFIX}{stream}", daemons, size.streams):
            shared[member.peer_port - FIRST_PEER_PORT] += 1
    return shared


def resources_placed(size: Size) -> dict[int, int]:
    """Returns how many partitions and backend servers each daemon should hold."""
    placed = dict.fromkeys(range(size.daemons), 0)
    daemons = members(size)
    numbers = {member.member_id: number for number, member in enumerate(daemons)}
    resources = [f"{PARTITION_PREFIX}{number}" for number in range(size.partitions)]
    resources += [f"{BACKEND_PREFIX}engine-{number:05}" for number in range(size.backends)]
    for resource in resources:
        holder = desired_holder(resource, daemons, size.streams)
        assert holder is not None
        placed[numbers[holder]] += 1
    return placed


def typical_daemon(size: Size) -> int:
    """Returns the first daemon that shares in as many streams as the mean one."""
    shared = streams_shared(size)
    mean = round(sum(shared.values()) / len(shared))
    return next(number for number, streams in shared.items() if streams == mean)


def model_name(number: int, size: Size) -> str:
    """Returns the model that an engine serves."""
    return f"model-{number % size.models}"


def catalogue_entries(size: Size) -> dict[str, Any]:
    """Returns all entries by full name."""
    entries: dict[str, Any] = {
        f"class/{CLASS}": {
            "kind": "class",
            "owner": "counter-desk",
            "budget_tokens": 1_000_000,
            "turn_limit": 350,
            "program_deadline_ms": 3_600_000,
            "call_limit_ms": 60_000,
            "idle_limit_ms": 3_600_000,
            "models": [model_name(number, size) for number in range(size.models)],
            "services": [],
            "accounts": [f"account-{number}" for number in range(size.accounts)],
        }
    }
    entries |= {f"account/account-{number}": account_entry() for number in range(size.accounts)}
    entries |= {
        f"backend/engine-{number:05}": backend_entry(number, size)
        for number in range(size.backends)
    }
    return entries


def account_entry(*, concurrent_calls: int = 1_000) -> dict[str, Any]:
    """Returns the entry of a client account."""
    return {
        "kind": "account",
        "owner": "finance",
        "concurrent_calls": concurrent_calls,
        "tokens_per_minute": 100_000_000,
    }


def granted(ask: AccountAsked) -> AccountGranted:
    """Returns the answer of an account's home that lends all it is asked for."""
    return AccountGranted(
        account=ask.account,
        incarnation=ask.incarnation,
        sequence=ask.sequence,
        epoch=1,
        permits=ask.wanted,
        tokens=ask.tokens_wanted,
        term_ms=ask.hold_ms + GRANT_MS,
        retry_after_ms=0,
    )


def backend_entry(number: int, size: Size) -> dict[str, Any]:
    """Returns the entry of an engine."""
    return {
        "kind": "backend",
        "owner": "platform",
        "address": backend_address(number),
        "zone": f"zone-{number % 20:02}",
        "backend_kind": "model",
        "serves": [model_name(number, size)],
        "slots": 32,
        "checks_fencing": True,
    }


def backend_address(number: int) -> str:
    """Returns the address of an engine."""
    return f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:8000"


def edit(number: int, changes: dict[str, Any], *, base_version: int = -1) -> bytes:
    """Returns the record of an edit of the catalogue."""
    listed = [
        {"name": name, "base_version": base_version, "entry": entry}
        for name, entry in changes.items()
    ]
    return msgspec.json.encode(
        {"kind": "edit", "edit_id": f"edit-{number}", "editor": "bench", "changes": listed}
    )


def program_ids(partition: str, size: Size, *, prefix: str) -> Iterator[str]:
    """Returns ids of programs of one partition, without end."""
    for number in count():
        program_id = f"{prefix}-{number}"
        if partition_of(program_id, size.partitions) == partition:
            yield program_id


def model_call(program_id: str, call_number: int, *, target: str) -> Call:
    """Returns a call to a model with a prompt of `PROMPT_BYTES`."""
    messages = [{"role": "user", "content": "x" * PROMPT_BYTES}]
    body = {"model": target, "messages": messages, "max_tokens": 290, "stream": True}
    return Call(
        program_id=program_id,
        call_number=call_number,
        class_name=CLASS,
        account="account-0",
        kind=CallKind.MODEL,
        target=target,
        path="/v1/chat/completions",
        body=msgspec.json.encode(body),
        max_tokens=290,
        stream=True,
    )


def batch(writer: str, sequence: int, entries: list[dict[str, Any]]) -> bytes:
    """Returns a record with one group of one writer."""
    group = {
        "writer": writer,
        "incarnation": START_MS,
        "sequence": sequence,
        "entries": entries,
    }
    return msgspec.json.encode({"groups": [group]})


def claim(writer: str, resource: str) -> dict[str, Any]:
    """Returns the first claim of a resource."""
    return {
        "kind": "claim",
        "resource": resource,
        "holder": writer,
        "incarnation": START_MS,
        "previous": -1,
    }


def program_entries(
    program_id: str, *, epoch: int, calls: int, at_ms: int, answer_bytes: int = ANSWER_BYTES
) -> list[dict[str, Any]]:
    """Returns the entries of a program that has made some calls and goes on."""
    opened = {
        "kind": "opened",
        "epoch": epoch,
        "program": program_id,
        "class_name": CLASS,
        "class_version": 0,
        "owner": "counter-desk",
        "account": "account-0",
        "budget_tokens": 1_000_000,
        "opened_at_ms": at_ms,
    }
    granted = {"kind": "slice", "epoch": epoch, "program": program_id, "tokens": 10_000}
    entries: list[dict[str, Any]] = [opened, granted]
    chain = ""
    for call_number in range(1, calls + 1):
        body = f"{program_id} {call_number} ".ljust(answer_bytes, "x")
        fingerprint = f"{call_number:032x}"
        chain = next_chain(chain, call_number=call_number, fingerprint=fingerprint, body=body)
        entries.append(
            {
                "kind": "outcome",
                "epoch": epoch,
                "program": program_id,
                "call_number": call_number,
                "fingerprint": fingerprint,
                "verdict": "ran",
                "status": 200,
                "reason": "",
                "body": body,
                "encoding": "utf8",
                "content_type": "application/json",
                "tokens": 590,
                "backend": f"engine-{call_number % 3:05}",
                "class_version": 0,
                "outcome_id": f"{CLASS}:0:ok:{call_number}:{program_id}",
                "chain": chain,
                "at_ms": at_ms,
            }
        )
    return entries
