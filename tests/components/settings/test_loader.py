"""Tests of the settings loader."""

import pathlib

import hypothesis
from hypothesis import strategies as st
import pytest
import result

from tamarackbridge.components.settings import loader

EXAMPLES = pathlib.Path("examples")
GOOD = """\
node = "a"
zone = "z"
[caller]
[peer]
[operator]
[platform]
object_api = "http://127.0.0.1:1"
vm_list = "http://127.0.0.1:2/vms"
"""


@pytest.mark.parametrize("deployment", ["mela", "asahikawa"])
def test_examples_load(deployment: str) -> None:
    found = sorted((EXAMPLES / deployment).glob("router-*.toml"))
    loaded = [loader.load(path) for path in found]
    nodes = {item.ok_value.node for item in loaded if item.is_ok()}
    assert len(nodes) == 7


WRONG = [
    ('node = "a"', 'node = "A"', "node: String should match pattern"),
    ('node = "a"', "", "node: this key is required"),
    ('zone = "z"', "zone = 7", "zone: Input should be a valid string"),
    ("[caller]", "[caler]", "caler: unknown key, allowed: node, zone"),
    ("[caller]", "[caller]\nprt = 1", "caller.prt: unknown key, allowed: host"),
    ("[caller]", "[caller]\nport = 70000", "caller.port: Input should be less"),
    ("[caller]", '[caller]\nport = "1"', "caller.port: Input should be a"),
    (
        "[caller]",
        '[caller]\nhost = "0.0.0.0"',
        "caller: plain text is for",
    ),
    ("[peer]", '[peer]\nhost = "::"', "peer: plain text is for"),
    (
        "[operator]",
        '[operator]\nhost = "example.org"',
        "operator: plain text is for loopback only; set operator.tls or"
        " operator.allow_plain_text = true",
    ),
    (
        "[caller]",
        '[caller]\ntls = { certificate = "c.pem" }',
        "caller.tls: certificate and key are given together",
    ),
    (
        "[peer]",
        '[peer]\ntls = { client_ca = "c.pem" }',
        "peer.tls: client_ca needs certificate and key",
    ),
    (
        "[operator]",
        '[operator]\ntoken_hashes = ["plain"]',
        "operator.token_hashes.0: String should match",
    ),
    (
        "[caller]",
        "[limits]\nmax_body_bytes = 0\n[caller]",
        "limits.max_body_bytes: Input should be greater than or equal to 1024",
    ),
    (
        "[caller]",
        "[limits]\nwrite_stall_s = inf\n[caller]",
        "limits.write_stall_s: Input should be a finite number",
    ),
    ("[caller]", "[caller]\nport = 1979-05-27", "a date is not allowed here"),
    ("[caller]", "[caller", "TOML is required"),
]


@pytest.mark.parametrize(("old", "new", "expected"), WRONG)
def test_wrong_settings_name_file_key_and_what_is_allowed(
    old: str, new: str, expected: str
) -> None:
    text = GOOD.replace(old, new)

    loaded = loader.parse(text.encode(), "s.toml")

    assert isinstance(loaded, result.Err)
    line = str(loaded.err_value)
    assert line.startswith("s.toml: ")
    assert expected in line
    assert line.isprintable()


@pytest.mark.parametrize(
    "listen",
    [
        'host = "0.0.0.0"\nallow_plain_text = true',
        'host = "0.0.0.0"\ntls = { certificate = "c", key = "k" }',
        'host = "::1"',
        'host = "127.8.9.1"',
        'host = "localhost"',
    ],
)
def test_listener_is_allowed(listen: str) -> None:
    text = GOOD.replace("[caller]", f"[caller]\n{listen}")
    assert loader.parse(text.encode(), "s.toml").is_ok()


def test_missing_file_is_named(tmp_path: pathlib.Path) -> None:
    loaded = loader.load(tmp_path / "none.toml")
    assert isinstance(loaded, result.Err)
    assert str(loaded.err_value).endswith(
        "none.toml: No such file or directory"
    )


LINES = st.lists(
    st.sampled_from([*GOOD.splitlines(), "port = -1", "tls = 3", "[[peer]]"])
    | st.text(max_size=30),
    max_size=12,
).map("\n".join)


@hypothesis.given(st.binary(max_size=512) | LINES.map(str.encode))
def test_any_bytes_give_settings_or_one_line(data: bytes) -> None:
    loaded = loader.parse(data, "s.toml")
    if isinstance(loaded, result.Err):
        line = str(loaded.err_value)
        assert line.isprintable()
        assert len(line) < 800
