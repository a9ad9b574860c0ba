"""Tests of calls during a stop or after a fault: their answers and logged outcomes."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from quincespool.gateway.clock import now_ms
from tests.gateway.gateway_cluster import GatewayCluster
from tests.support.client import ConnectionLostError
from tests.support.platform_entries import HOST_NAME

if TYPE_CHECKING:
    from quincespool.gateway.accounts.limits import Permit
    from quincespool.gateway.callers.reply import Reply
    from quincespool.gateway.model import Call
    from quincespool.gateway.model import Decision
    from quincespool.gateway.model import TurnParameters


def _lines(caplog: pytest.LogCaptureFixture, message: str) -> list[dict[str, object]]:
    lines = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    return [line for line in lines if line.get("message") == message]


async def test_a_call_cut_off_by_a_stop_is_not_logged_as_left_by_its_caller(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    async with GatewayCluster(1) as cluster:
        for engine in cluster.engines.values():
            engine.knobs.gap_ms = 1_000
        calling = asyncio.create_task(cluster.call("a", "idempotent"))
        await cluster.until(cluster.all_runs)
        await cluster.nodes["a"].daemon._caller_port.cancel_requests()
        assert (await calling).status == 502
    assert [line["outcome"] for line in _lines(caplog, "call answered")] == ["cut_off"]


async def test_a_stopping_daemon_answers_a_request_queued_behind_another_one() -> None:
    request = f"POST /idempotent/x HTTP/1.1\r\nhost: {HOST_NAME}\r\ndeadline-ms: 1000\r\n"
    both = "".join(f"{request}request-id: r{n}\r\ncontent-length: 0\r\n\r\n" for n in (1, 2))
    async with GatewayCluster(1) as cluster:
        cluster.engines["s1"].knobs.gap_ms = 200
        host, _, port = cluster.nodes["a"].address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(both.encode())
        await cluster.until(cluster.all_runs)
        cluster.nodes["a"].daemon.begin_stop()
        answers = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert answers.count(b"HTTP/1.1 200 ") == 2
    assert answers.count(b"connection: close") == 1


@pytest.mark.parametrize("last_after_s", [0.0, 0.3])
async def test_a_request_that_waited_behind_another_one_has_only_the_rest_of_its_time(
    last_after_s: float,
) -> None:
    """Failure: a request is run and answered long after the time that its caller gave it."""
    request = f"POST /non_idempotent/x HTTP/1.1\r\nhost: {HOST_NAME}\r\ncontent-length: 0\r\n"
    limits_ms = {"first": 2_000, "late": 300, "patient": 2_000}
    requests = [
        f"{request}request-id: {call_id}\r\ndeadline-ms: {limit_ms}\r\n\r\n"
        for call_id, limit_ms in limits_ms.items()
    ]
    async with GatewayCluster(1) as cluster:
        cluster.engines["s1"].knobs.gap_ms = 500
        host, _, port = cluster.nodes["a"].address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write("".join(requests[:2]).encode())
        await asyncio.sleep(last_after_s)
        writer.write(requests[2].encode())
        await cluster.until(lambda: len(cluster.all_runs()) == 2)
        writer.close()
        await reader.read()
        first, patient = cluster.all_runs()
    assert (first.call_id, patient.call_id) == ("first", "patient")
    assert int(patient.headers["deadline-ms"]) <= 2_000 - 500 + int(1_000 * last_after_s)


async def test_the_last_answer_arrives_although_its_caller_has_sent_more() -> None:
    request = f"POST /idempotent/x HTTP/1.1\r\nhost: {HOST_NAME}\r\ndeadline-ms: 1000\r\n"
    first, second = (f"{request}request-id: r{n}\r\ncontent-length: 0\r\n\r\n" for n in (1, 2))
    async with GatewayCluster(1) as cluster:
        cluster.engines["s1"].knobs.gap_ms = 200
        host, _, port = cluster.nodes["a"].address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(first.encode())
        await cluster.until(cluster.all_runs)
        cluster.nodes["a"].daemon.begin_stop()
        (connection,) = cluster.nodes["a"].daemon._caller_port._connections
        # Data sent from this point on stays unread in the socket while the answer is written.
        connection._transport.pause_reading()
        writer.write(second.encode())
        answers = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert answers.startswith(b"HTTP/1.1 200 ")


async def test_a_call_whose_permit_arrives_after_a_stop_began_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with GatewayCluster(1) as cluster:
        daemon = cluster.nodes["a"].daemon
        admit = daemon._program_components.limits.admit

        async def admit_late(call: Call, decision: Decision, *, until_ms: int) -> Permit:
            daemon.begin_stop()
            daemon._planned_stop._deadline_ms = now_ms()
            return await admit(call, decision, until_ms=until_ms)

        monkeypatch.setattr(daemon._program_components.limits, "admit", admit_late)
        reply = await cluster.call("a", "non_idempotent")
        assert reply.status == 503
        assert cluster.all_runs() == []


async def test_a_complete_answer_is_not_aborted_by_the_end_of_the_process(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level("INFO")
    async with GatewayCluster(1) as cluster:
        daemon = cluster.nodes["a"].daemon
        run = daemon._program_components.relay.run

        async def run_and_end(
            call: Call, terms: TurnParameters, reply: Reply, *, until_ms: int
        ) -> str:
            await run(call, terms, reply, until_ms=until_ms)
            raise asyncio.CancelledError

        monkeypatch.setattr(daemon._program_components.relay, "run", run_and_end)
        _, answer = await cluster.turn("a", "p")
        assert answer.status == 200
    assert [line["outcome"] for line in _lines(caplog, "call answered")] == ["whole"]


async def test_a_stop_that_meets_a_fault_still_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    async with GatewayCluster(1) as cluster:
        daemon = cluster.nodes["a"].daemon

        async def fail() -> None:
            raise RuntimeError

        monkeypatch.setattr(daemon._ownership, "leave", fail)
        daemon.begin_stop()
        await asyncio.wait_for(daemon.stopped.wait(), 5)


async def test_a_fault_of_the_daemon_is_logged_with_the_id_of_its_call(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level("INFO")

    async def fail(*_: object, **__: object) -> str:
        raise KeyError("x")

    async with GatewayCluster(1) as cluster:
        monkeypatch.setattr(cluster.nodes["a"].daemon._program_components.relay, "run", fail)
        with contextlib.suppress(ConnectionLostError):
            await cluster.turn("a", "p", call_id="t1")
    assert [line["call_id"] for line in _lines(caplog, "call failed")] == ["t1"]
    assert [line["outcome"] for line in _lines(caplog, "call answered")] == ["failed"]


async def test_a_relayed_turn_that_cannot_be_read_is_refused_at_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller that waits for its whole time limit for an owner that met a fault."""
    caplog.set_level("INFO")

    def fail(_: object) -> None:
        raise KeyError("x")

    async with GatewayCluster() as cluster:
        relay = cluster.nodes["a"].daemon._program_components.relay
        owned = cluster.nodes["b"].daemon._ownership.owned
        programs = (f"p{number}" for number in range(200))
        program = next(one for one in programs if relay._partition_for(one) in owned)
        monkeypatch.setattr("quincespool.gateway.turns.relay.decode_relay_call", fail)
        call_id, answer = await cluster.turn("a", program)
        assert answer.status == 503
        assert cluster.runs(call_id) == []
    assert [line["call_id"] for line in _lines(caplog, "call failed")] == [call_id]
