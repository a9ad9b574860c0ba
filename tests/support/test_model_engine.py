"""Tests of the model engine stand-in."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from tests.support.client import ConnectionLostError
from tests.support.client import Reply
from tests.support.client import fetch
from tests.support.standins.batch import Batch
from tests.support.standins.batch import BatchSpeed
from tests.support.standins.batch import Sequence
from tests.support.standins.generation import Block
from tests.support.standins.generation import ChatMessage
from tests.support.standins.generation import Generation
from tests.support.standins.generation import block_of
from tests.support.standins.generation import generate
from tests.support.standins.model_engine import make_model_engine
from tests.support.standins.weight_store import make_weight_store

_PROMPT = [ChatMessage(role="user", content="Is insulin in stock? " * 20)]


async def _post(address: str, path: str, value: object, **headers: str) -> Reply:
    fields = {name.replace("_", "-"): text for name, text in headers.items()}
    return await fetch(address, "POST", path, headers=fields, body=msgspec.json.encode(value))


async def _complete(
    address: str, program_id: str, messages: list[ChatMessage], number: int = 1, **options: object
) -> Reply:
    value = {"model": "m", "messages": messages, **options}
    path = "/v1/chat/completions"
    return await _post(
        address, path, value, x_program_id=program_id, x_call_number=str(number), x_request_id="a"
    )


def _cached(reply: Reply) -> int:
    return int(reply.json()["usage"]["prompt_tokens_details"]["cached_tokens"])


def _answer_block(text: str) -> Block:
    return block_of(ChatMessage(role="assistant", content=text))


def _next_prompt(reply: Reply) -> list[ChatMessage]:
    answer = reply.json()["choices"][0]["message"]
    return [*_PROMPT, answer, ChatMessage(role="user", content="And malaria tablets?")]


async def _get(address: str, path: str) -> Any:
    return (await fetch(address, "GET", path)).json()


def test_stream_and_whole_answer_are_the_same_text() -> None:
    async def scenario() -> None:
        async with make_model_engine(latency_scale=0) as engine:
            whole = await _complete(engine.address, "p", _PROMPT)
            stream = await _complete(engine.address, "p", _PROMPT, stream=True)
        text = generate("p", "1", _PROMPT, None).text
        assert whole.json()["choices"][0]["message"]["content"] == text
        *events, done = stream.body.decode().removesuffix("\n\n").split("\n\n")
        chunks = [msgspec.json.decode(event.removeprefix("data: ")) for event in events]
        deltas = [choice["delta"].get("content", "") for c in chunks for choice in c["choices"]]
        assert ("".join(deltas), done) == (text, "data: [DONE]")
        assert chunks[-1]["usage"]["completion_tokens"] == len(deltas) - 1

    asyncio.run(scenario())


def test_prefix_is_cached_until_released_and_waste_is_counted() -> None:
    async def scenario() -> None:
        async with make_model_engine(latency_scale=0) as engine:
            first = await _complete(engine.address, "p", _PROMPT)
            assert _cached(first) == 0
            second = await _complete(engine.address, "p", _next_prompt(first), 2)
            held = _cached(second)
            assert held > first.json()["usage"]["prompt_tokens"]
            released = await _post(engine.address, "/v1/cache/release", {"program_id": "p"})
            assert released.json()["released_tokens"] > held
            assert (await _get(engine.address, "/v1/cache")) == {"programs": []}
            assert _cached(await _complete(engine.address, "p", _next_prompt(first), 2)) == 0
            wasted: Any = engine.counts()["wasted_tokens"]
            assert wasted["p"] == second.json()["usage"]["prompt_tokens"]

    asyncio.run(scenario())


@pytest.mark.parametrize(("length", "left_tokens"), [(0, 9), (3, 9), (20, 5), (21, 4), (37, 0)])
def test_resumed_call_generates_only_the_rest(length: int, left_tokens: int) -> None:
    answer = generate("p", "1", _PROMPT, None).text
    text = answer[:length]

    async def scenario() -> None:
        async with make_model_engine(latency_scale=0) as engine:
            whole = (await _complete(engine.address, "p", _PROMPT)).json()["usage"]
            rest = await _complete(engine.address, "p", _PROMPT, resume={"text": text})
            usage = rest.json()["usage"]
            assert rest.json()["choices"][0]["message"]["content"] == answer[length:]
            assert usage["completion_tokens"] == left_tokens
            text_tokens = _answer_block(text).tokens if text else 0
            assert usage["prompt_tokens"] == whole["prompt_tokens"] + text_tokens
            wrong = await _complete(engine.address, "p", _PROMPT, resume={"text": text + "?"})
            assert wrong.status == 409
            assert engine.counts()["totals"] == {"finished": 2}

    asyncio.run(scenario())


def test_stream_cut_off_is_resumed_from_the_cache() -> None:
    """A stream ends early: its caller's connection breaks after the first data.

    The engine cancels the call and keeps what it has computed; the caller then sends the call again
    with the text generated, and nothing is computed twice.
    """
    answer = generate("q", "1", _PROMPT, None)
    texts = ["".join(answer.pieces[:at]) for at in range(1, len(answer.pieces))]

    async def scenario() -> None:
        def cut_off(_: bytes) -> None:
            call.cancel()

        async with make_model_engine() as engine:
            url = (engine.address, "POST", "/v1/chat/completions")
            headers = {"x-program-id": "q", "x-call-number": "1"}
            body = msgspec.json.encode({"model": "m", "messages": _PROMPT, "stream": True})
            call = asyncio.create_task(fetch(*url, headers=headers, body=body, on_data=cut_off))
            with pytest.raises(asyncio.CancelledError):
                await call
            while not engine.counts()["journal"]:
                await asyncio.sleep(0)
            exported = await _post(engine.address, "/v1/cache/export", {"program_id": "q"})
            held = msgspec.convert(exported.json()["blocks"][-1], Block)
            [text] = [text for text in texts if _answer_block(text) == held]
            engine.knobs.latency_scale = 0
            resumed = await _complete(engine.address, "q", _PROMPT, resume={"text": text})
            assert text + resumed.json()["choices"][0]["message"]["content"] == answer.text
            assert _cached(resumed) == resumed.json()["usage"]["prompt_tokens"]

    asyncio.run(scenario())


def test_least_recently_used_prefix_is_evicted_and_events_have_gaps() -> None:
    async def scenario() -> None:
        async with make_model_engine(
            latency_scale=0, cache_limit_tokens=200, event_gap=2
        ) as engine:
            for program_id in ("old", "new"):
                await _complete(engine.address, program_id, _PROMPT)
            held = await _get(engine.address, "/v1/cache")
            events = await _get(engine.address, "/v1/cache/events?from=0")
            load = await _get(engine.address, "/v1/load")
        tokens = {entry["program_id"]: entry["tokens"] for entry in held["programs"]}
        assert tokens["new"] == load["cached_tokens"] - tokens.get("old", 0)
        assert tokens.get("old", 0) < tokens["new"]
        assert load["cached_tokens"] <= 200
        assert [event["sequence"] for event in events["events"]] == [0, 2]
        assert [event["kind"] for event in events["events"]] == ["stored", "evicted"]

    asyncio.run(scenario())


def test_export_and_import_move_a_prefix_to_another_engine() -> None:
    async def scenario() -> None:
        async with make_model_engine(latency_scale=0) as one, make_model_engine() as other:
            first = await _complete(one.address, "p", _PROMPT)
            exported = await _post(one.address, "/v1/cache/export", {"program_id": "p"})
            await _post(other.address, "/v1/cache/import", exported.json())
            assert other.counts()["held_tokens"] == one.counts()["held_tokens"]
            other.knobs.latency_scale = 0
            assert _cached(await _complete(other.address, "p", _next_prompt(first), 2)) > 0

    asyncio.run(scenario())


def test_waiting_sequences_run_by_priority() -> None:
    finished = []

    async def follow(name: str, sequence: Sequence) -> None:
        while await sequence.pieces.get() is not None:
            pass
        finished.append(name)

    async def scenario() -> None:
        speed = BatchSpeed(slots=1, latency_scale=0)
        batch = Batch(speed, admit=lambda _: None, on_change=lambda: None)
        followers = []
        for name, priority in [("late", 9), ("first", 1), ("second", 1), ("cancelled", 0)]:
            sequence = Sequence(name, Generation(["a", "b"], "stop"), prefill_tokens=5000)
            sequence.cancelled = name == "cancelled"
            batch.add(sequence, priority=priority)
            if not sequence.cancelled:
                followers.append(asyncio.create_task(follow(name, sequence)))
        await batch.run()
        await asyncio.gather(*followers)

    asyncio.run(scenario())
    assert finished == ["first", "second", "late"]


def test_closed_connection_cancels_and_the_reported_load_lags() -> None:
    """A caller closes its connection in the middle of a call: the engine stops working on it."""

    async def scenario() -> None:
        # One step lasts for years, so the call cannot finish by itself.
        async with make_model_engine(step_base_ms=1e12, load_lag_ms=1e9) as engine:
            call = asyncio.create_task(_complete(engine.address, "p", _PROMPT))
            while not engine.counts()["runs"]:
                await asyncio.sleep(0)
            assert (await _get(engine.address, "/v1/load"))["running"] == 0
            engine.knobs.load_lag_ms = 0
            assert (await _get(engine.address, "/v1/load"))["running"] == 1
            call.cancel()
            while not engine.counts()["journal"]:
                await asyncio.sleep(0)
            assert engine.counts()["totals"] == {"cancelled": 1}

    asyncio.run(scenario())


@pytest.mark.parametrize(("checks_fencing", "status"), [(True, 412), (False, 200)])
def test_order_with_an_old_fencing_number(checks_fencing: bool, status: int) -> None:
    """A keeper that was paused gives an order after another has taken over.

    The engine has seen the new keeper's number; it refuses the old one's order if it checks, and
    takes it, with only a count to show for it, if it does not.
    """

    async def scenario() -> None:
        async with make_model_engine(checks_fencing=checks_fencing) as engine:
            for number, expected in [("7", 200), ("6", status), ("7", 200)]:
                order = {"role": "decode"}
                reply = await _post(engine.address, "/v1/role", order, x_fencing_number=number)
                assert reply.status == expected
            count = "old_fencing_refused" if checks_fencing else "old_fencing_taken"
            assert engine.counts()["totals"] == {count: 1}

    asyncio.run(scenario())


def test_poisoned_request_takes_all_requests_and_the_cache_with_it() -> None:
    """One request crashes the engine that runs it.

    Everybody's connection breaks, the engine refuses connections for a while, and comes back with
    an empty cache.
    """

    async def scenario() -> None:
        async with make_model_engine(
            latency_scale=0, poison_marker="poison", refuse_ms=30
        ) as engine:
            await _complete(engine.address, "p", _PROMPT)
            engine.knobs.prefill_chunk_tokens = 0  # No prompt is ever computed.
            innocent = asyncio.create_task(_complete(engine.address, "q", _PROMPT))
            while engine.counts()["runs"] != {"p": 1, "q": 1}:
                await asyncio.sleep(0)
            poison = [ChatMessage(role="user", content="poison")]
            for call in (_complete(engine.address, "r", poison), innocent):
                with pytest.raises(ConnectionLostError):
                    await call
            await _until_back(engine.address)
            assert engine.counts()["held_tokens"] == {}
            engine.knobs.prefill_chunk_tokens = 2048
            totals: Any = engine.counts()["totals"]
            assert (totals["poisoned"], totals["crashes"]) == (1, 1)
            assert (await _complete(engine.address, "p", _PROMPT)).status == 200

    asyncio.run(scenario())


def test_unreachable_engine_comes_back_with_its_cache() -> None:
    """The network to an engine fails for a while: calls on it break, its memory stays."""

    async def scenario() -> None:
        async with make_model_engine(latency_scale=0) as engine:
            await _complete(engine.address, "p", _PROMPT)
            engine.knobs.prefill_chunk_tokens = 0  # No prompt is ever computed.
            call = asyncio.create_task(_complete(engine.address, "q", _PROMPT))
            while engine.counts()["runs"] != {"p": 1, "q": 1}:
                await asyncio.sleep(0)
            control = {"unreachable_ms": 30, "prefill_chunk_tokens": 2048}
            assert (await _post(engine.address, "/control", control)).status == 200
            with pytest.raises(ConnectionLostError):
                await call
            await _until_back(engine.address)
            assert _cached(await _complete(engine.address, "p", _PROMPT)) > 0

    asyncio.run(scenario())


def test_model_is_loaded_from_the_weight_store() -> None:
    async def scenario() -> None:
        async with (
            make_weight_store(size_bytes=100_000, rate_bytes_per_s=1e7) as store,
            make_model_engine(latency_scale=0, weight_store=store.address) as engine,
        ):
            order = {"model": "m", "version": "2"}
            loaded = await _post(engine.address, "/v1/models/load", order)
            assert loaded.json() == {"models": ["m/2"]}
            assert store.counts() == {"sent_bytes": {"m/2": 100_000}}
            assert (await _complete(engine.address, "p", _PROMPT)).status == 404

    asyncio.run(scenario())


async def _until_back(address: str) -> None:
    while True:
        try:
            await fetch(address, "GET", "/counts")
        except ConnectionLostError:
            await asyncio.sleep(0.01)
        else:
            return
