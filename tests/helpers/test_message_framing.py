"""What marks the end of a response body, by its head."""

import types
from typing import Any, cast

import multidict
import pytest

from tamarackbridge.helpers import message_framing

Framing = message_framing.Framing


@pytest.mark.parametrize(
    ("method", "status", "headers", "expected"),
    [
        ("POST", 200, [("Content-Length", "4")], Framing.LENGTH),
        ("POST", 200, [("Transfer-Encoding", "chunked")], Framing.CHUNKED),
        (
            "POST",
            200,
            [("transfer-encoding", "GZIP, Chunked")],
            Framing.CHUNKED,
        ),
        ("POST", 200, [], Framing.CLOSE),
        ("POST", 200, [("Transfer-Encoding", "identity")], Framing.CLOSE),
        (
            "POST",
            200,
            [("Transfer-Encoding", "chunked"), ("Transfer-Encoding", "gzip")],
            Framing.CLOSE,
        ),
        ("POST", 204, [], Framing.LENGTH),
        ("GET", 304, [], Framing.LENGTH),
        ("HEAD", 200, [], Framing.LENGTH),
    ],
)
def test_framing_is_read_from_the_head(
    method: str,
    status: int,
    headers: list[tuple[str, str]],
    expected: message_framing.Framing,
) -> None:
    resp = types.SimpleNamespace(
        method=method, status=status, headers=multidict.CIMultiDict(headers)
    )
    assert message_framing.of_response(cast(Any, resp)) is expected
