"""Tests of the parser for streamed chat completions."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from quincespool.core.call import Usage
from quincespool.core.keeper.chat_stream import ChatStream
from quincespool.core.keeper.chat_stream import MalformedReplyError
from tests.core.keeper.keeper_bench import CHAT

TOOL_CALL = (
    b'data: {"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c1",'
    b'"function":{"name":"reorder","arguments":"{\\"sku\\":"}}]}}]}\n\n'
    b'data: {"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"7}"}}]},'
    b'"finish_reason":"tool_calls"}]}\n\n'
)


@settings(derandomize=True, deadline=None)
@given(st.data())
def test_pieces_may_end_anywhere(data: st.DataObject) -> None:
    text = TOOL_CALL + b": comment\n\n" + CHAT
    if data.draw(st.booleans()):
        text = text.replace(b"\n", b"\r\n")
    cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=8)))
    stream = ChatStream(event_limit_bytes=1000)
    texts = []
    for start, end in zip([0, *cuts], [*cuts, len(text)], strict=True):
        texts.append(stream.feed(text[start:end]))
    assert "".join(texts) == "in stock"
    assert stream.usage == Usage(prompt_tokens=7, cached_tokens=5, completion_tokens=2)
    assert (stream.finish_reason, stream.ended) == ("stop", True)
    [call] = json.loads(stream.tool_calls())["tool_calls"]
    assert call["function"] == {"name": "reorder", "arguments": '{"sku":7}'}


@pytest.mark.parametrize("data", [b"data: {\n\n", b"data: " + b"x" * 1000])
def test_what_is_no_chat_stream(data: bytes) -> None:
    with pytest.raises(MalformedReplyError):
        ChatStream(event_limit_bytes=100).feed(data)
