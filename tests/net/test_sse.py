"""Tests of the events of a streamed chat completion."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from quincespool.core.call import Answer
from quincespool.net.sse import ChunkWriter


@pytest.fixture
def writer() -> ChunkWriter:
    return ChunkWriter(model="m", completion_id="c", created_s=1)


def answer(content: str) -> Answer:
    choice = {"message": {"role": "assistant", "content": content}, "finish_reason": "length"}
    body = {"choices": [choice], "usage": {"completion_tokens": 2}}
    return Answer(status=200, body=msgspec.json.encode(body), outcome_id="o")


def events(data: bytes) -> list[Any]:
    texts = [part.removeprefix(b"data: ") for part in data.split(b"\n\n")[:-1]]
    return [text if text == b"[DONE]" else msgspec.json.decode(text) for text in texts]


def test_text_then_usage_then_done(writer: ChunkWriter) -> None:
    first, second, last, done = events(
        writer.text('a"\n') + writer.text("b") + writer.end(answer('a"\nb'))
    )

    assert first["choices"][0]["delta"] == {"role": "assistant", "content": 'a"\n'}
    assert second["choices"][0]["delta"] == {"content": "b"}
    assert (first["object"], first["model"], first["id"]) == ("chat.completion.chunk", "m", "c")
    assert last["choices"][0]["finish_reason"] == "length"
    assert last["usage"] == {"completion_tokens": 2}
    assert done == b"[DONE]"


def test_what_was_not_streamed_yet_comes_before_the_end(writer: ChunkWriter) -> None:
    _, rest, _, done = events(writer.text("ab") + writer.end(answer("abcd")))

    assert rest["choices"][0]["delta"] == {"content": "cd"}
    assert done == b"[DONE]"


@pytest.mark.parametrize(
    "ending", [answer("xyz"), answer("a"), Answer(200, b"no json"), Answer(502, b"")]
)
def test_a_stream_that_cannot_be_completed_ends_with_an_error(
    writer: ChunkWriter, ending: Answer
) -> None:
    """A streamed answer that is not the recorded one.

    Symptom: a caller holds half of one answer and half of another, marked as whole. Events: the
    backend server dies while streaming, the call runs again elsewhere with other text. Cause: the
    end of the stream is sent without a look at what went before.
    """
    *_, last = events(writer.text("abc") + writer.end(ending))

    assert "error" in last
