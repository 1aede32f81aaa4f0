"""Tests of record files and stored records."""

import dataclasses
import json
import pathlib

import hypothesis
from hypothesis import strategies as st
import pytest
import result

from tamarackbridge.components.records import (
    changes,
    codec,
    const,
    files,
    references,
    schemas,
    snapshot,
)

EXAMPLES = pathlib.Path("examples")
HASH = "ab" * 32
ZONE = {"kind": "zone", "schema_version": 1, "name": "lahore"}
ROUTE = {"name": "r", "method": "GET", "path": "/r", "idempotent": True}
SERVICE = {
    "kind": "service",
    "schema_version": 1,
    "name": "lm",
    "protocol": "engine",
    "cost_rule": "tokens",
    "max_cost": 10,
    "routes": [ROUTE],
}
SERVER = {
    "kind": "server",
    "schema_version": 1,
    "name": "lm-1",
    "service": "lm",
    "zone": "lahore",
    "address": "127.0.0.1:80",
    "limit_warm": 2,
}
WORKSPACE = {
    "kind": "workspace",
    "schema_version": 1,
    "name": "gate",
    "share": 1,
    "key_hashes": [HASH],
}
WRONG = [
    ({"kind": "zoo"}, "kind: one of zone, service, server, workspace"),
    (ZONE | {"schema_version": 2}, "schema_version: zone has schema version 1"),
    (ZONE | {"schema_version": True}, "schema_version: zone has"),
    (ZONE | {"schema_version": "1"}, "schema_version: zone has"),
    (ZONE | {"name": "Lahore"}, "name: String should match pattern"),
    (ZONE | {"out": "yes"}, "out: Input should be a valid boolean"),
    (ZONE | {"oot": True}, "oot: unknown key, allowed: name, out"),
    (WORKSPACE | {"share": 0}, "share: Input should be greater than 0"),
    (WORKSPACE | {"share": float("nan")}, "share: Input should be a finite"),
    (WORKSPACE | {"share": None}, "share: Input should be a valid number"),
    (WORKSPACE | {"key_hashes": []}, "key_hashes: Tuple should have at least"),
    (WORKSPACE | {"key_hashes": ["plain"]}, "key_hashes.0: String should"),
    (WORKSPACE | {"schema_version": 3}, "workspace has schema version 1, 2"),
    (
        WORKSPACE | {"schema_version": 2, "limits": {"queue": 1}},
        "limits.queue: unknown key, allowed: queued, running",
    ),
    (SERVER | {"address": "nowhere"}, "address: String should match"),
    (SERVER | {"limit_warm": 2.5}, "limit_warm: Input should be a valid int"),
    (
        SERVICE | {"routes": [ROUTE | {"path": "r"}]},
        "routes.0.path: String should match",
    ),
    (
        SERVICE | {"routes": [ROUTE | {"path": "/\x1b[2J"}]},
        "routes.0.path: String should match",
    ),
    (
        SERVICE | {"routes": [ROUTE | {"path": "/a*b"}]},
        "routes.0.path: String should match",
    ),
    (
        SERVICE | {"routes": [ROUTE | {"retry": 1}]},
        "routes.0.retry: unknown key, allowed: name, method, path",
    ),
    ({key: SERVER[key] for key in SERVER if key != "zone"}, "zone: this key"),
    (7, "a record is a table of keys"),
]


@pytest.mark.parametrize(("doc", "expected"), WRONG)
def test_wrong_record_names_key_and_what_is_allowed(
    doc: object, expected: str
) -> None:
    data = json.dumps({"records": [ZONE | {"name": "ok"}, doc]}).encode()

    read = files.parse_json(data, "f.json")

    assert isinstance(read, result.Err)
    line = str(read.err_value)
    assert line.startswith("f.json: records[1]")
    assert expected in line
    assert "\n" not in line


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "exactly one key, records"),
        ("records = 3", "records: an array"),
        ("records = [", "TOML is required"),
        ("records = []\nother = 1", "exactly one key, records"),
        ("x = 1" + "0" * 5000, "TOML is required"),
        ("a = " + "[" * 5000, "TOML is required"),
        ("\xff", "TOML is required"),
    ],
)
def test_wrong_file_gives_one_line(text: str, expected: str) -> None:
    read = files.parse_toml(text.encode("latin-1"), "f.toml")
    assert isinstance(read, result.Err)
    assert expected in str(read.err_value)
    assert "\n" not in str(read.err_value)


def test_duplicate_record_is_rejected() -> None:
    data = json.dumps({"records": [ZONE, ZONE]}).encode()
    read = files.parse_json(data, "f.json")
    assert isinstance(read, result.Err)
    assert "a record may appear only once" in str(read.err_value)


@pytest.mark.parametrize("data", [b"x" * (const.MAX_FILE_BYTES + 1)])
def test_oversize_file_is_rejected(data: bytes) -> None:
    for parse in (files.parse_json, files.parse_toml):
        read = parse(data, "f")
        assert isinstance(read, result.Err)
        assert "at most" in read.err_value.allowed


@pytest.mark.parametrize("deployment", ["mela", "asahikawa"])
def test_example_has_the_size_of_the_deployment(deployment: str) -> None:
    read = files.load(EXAMPLES / deployment / "records.toml")

    assert isinstance(read, result.Ok)
    kinds = [record.kind for record in read.ok_value]
    assert {kind: kinds.count(kind) for kind in kinds} == {
        "zone": 3,
        "service": 2,
        "server": 8,
        "workspace": 16,
    }
    assert (
        references.find_inconsistency(snapshot.build(1, read.ok_value)) is None
    )


INCONSISTENT = [
    ([SERVER], "server/lm-1: service: no record service/lm exists"),
    ([SERVICE, SERVER], "server/lm-1: zone: no record zone/lahore exists"),
    (
        [ZONE, SERVICE, SERVER | {"limit_cold": 3}],
        "server/lm-1: limit_cold: at most limit_warm, 2",
    ),
    (
        [SERVICE | {"routes": [ROUTE, ROUTE]}],
        "service/lm: routes.1.name: each route name stands once",
    ),
    (
        [WORKSPACE, WORKSPACE | {"name": "other"}],
        "workspace/other: key_hashes.0: workspace gate has this key",
    ),
]


@pytest.mark.parametrize(("docs", "expected"), INCONSISTENT)
def test_inconsistency_names_record_and_key(
    docs: list[object], expected: str
) -> None:
    read = files.from_documents({"records": docs}, "f")
    assert isinstance(read, result.Ok)
    assert expected in str(
        references.find_inconsistency(snapshot.build(1, read.ok_value))
    )


SHARES = st.floats(0.001, 1e6)
COUNTS = st.integers(1, 1_000_000)
WORKSPACES = st.builds(
    lambda **fields: {"kind": "workspace", "schema_version": 1, **fields},
    name=st.from_regex(const.NAME_PATTERN, fullmatch=True),
    share=SHARES,
    key_hashes=st.lists(
        st.from_regex("[0-9a-f]{64}", fullmatch=True), min_size=1, max_size=3
    ),
    max_queued=COUNTS,
    max_running=COUNTS,
    end_user_header=st.sampled_from(["", "X-Breeder"]),
)


@hypothesis.given(WORKSPACES)
def test_versions_convert_both_ways(doc: dict[str, object]) -> None:
    read = codec.from_document(doc)
    assert isinstance(read, result.Ok)
    newer = codec.from_document(codec.to_document(read.ok_value, 2))
    assert isinstance(newer, result.Ok)

    assert newer.ok_value.model == read.ok_value.model
    back = codec.to_document(newer.ok_value, 1)
    assert codec.from_document(back) == read


@pytest.mark.parametrize("deployment", ["mela", "asahikawa"])
def test_stored_record_keeps_its_writers_version(deployment: str) -> None:
    read = files.load(EXAMPLES / deployment / "records.toml")
    assert isinstance(read, result.Ok)
    for record in read.ok_value:
        stored = codec.decode(codec.encode(record))
        assert stored == result.Ok(record)


GENERATIONS = st.lists(
    st.dictionaries(
        st.sampled_from(["a", "b", "c"]),
        st.tuples(st.sampled_from([1, 2]), st.integers(1, 3)),
    ),
    max_size=5,
)


@hypothesis.given(GENERATIONS)
def test_reuse_of_unchanged_records_gives_the_same_snapshot(
    generations: list[dict[str, tuple[int, int]]],
) -> None:
    codec_under_test = snapshot.SnapshotCodec()
    for number, wanted in enumerate(generations):
        bodies = {}
        for name, (version, share) in wanted.items():
            doc = WORKSPACE | {"name": name, "share": share}
            record = codec.from_document(doc).unwrap()
            record = dataclasses.replace(record, schema_version=version)
            bodies[f"workspace/{name}"] = codec.encode(record)
        fresh = snapshot.SnapshotCodec().decode(number, bodies)
        assert codec_under_test.decode(number, bodies) == fresh


def test_unreadable_generation_leaves_the_previous_records() -> None:
    codec_under_test = snapshot.SnapshotCodec()
    good = {"zone/lahore": codec.encode(codec.from_document(ZONE).unwrap())}
    before = codec_under_test.decode(1, good)
    with pytest.raises(ValueError, match="kind: one of"):
        codec_under_test.decode(2, good | {"zoo/a": b"{}"})
    after = codec_under_test.decode(3, good)
    assert after.zones["lahore"] is before.zones["lahore"]


VERSION_TABLE = [
    ([], [WORKSPACE | {"schema_version": 2}], False),
    ([ZONE], [WORKSPACE], False),
    ([ZONE], [WORKSPACE | {"schema_version": 2}], True),
    ([WORKSPACE], [WORKSPACE | {"schema_version": 2}], True),
    (
        [WORKSPACE | {"schema_version": 2}],
        [WORKSPACE | {"name": "b", "schema_version": 2}],
        False,
    ),
    ([WORKSPACE | {"schema_version": 2}], [WORKSPACE], False),
]


@pytest.mark.parametrize(("before", "puts", "is_new"), VERSION_TABLE)
def test_record_of_a_new_version_is_found(
    before: list[object], puts: list[object], is_new: bool
) -> None:
    old = files.from_documents({"records": before}, "f").unwrap()
    new = files.from_documents({"records": puts}, "f").unwrap()
    stored = {changes.id_of(rec): changes.StoredRecord(rec, 1) for rec in old}
    found = changes.first_in_new_version(stored, changes.ChangeSet(puts=new))
    assert (found is not None) == is_new


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


@st.composite
def corrupted_documents(draw: st.DrawFn) -> object:
    doc: dict[str, object] = dict(
        draw(st.sampled_from([ZONE, SERVICE, SERVER, WORKSPACE]))
    )
    version = schemas.SCHEMAS[str(doc["kind"])]
    doc["schema_version"] = draw(st.sampled_from(sorted(version)))
    for _ in range(draw(st.integers(1, 3))):
        key = draw(st.sampled_from(sorted(doc)) | st.text(max_size=8))
        doc[key] = draw(JSON)
    return doc


@hypothesis.given(corrupted_documents())
def test_any_value_of_any_key_gives_a_record_or_one_line(doc: object) -> None:
    read = codec.from_document(doc, "f")
    if isinstance(read, result.Ok):
        assert codec.decode(codec.encode(read.ok_value)) == read
        return
    line = str(read.err_value)
    assert line.isprintable()
    assert len(line) < 800


@hypothesis.given(st.binary(max_size=512) | JSON.map(json.dumps))
def test_any_bytes_give_records_or_one_line(data: bytes | str) -> None:
    raw = data if isinstance(data, bytes) else data.encode()
    for read in (
        files.parse_json(raw, "f"),
        files.parse_toml(raw, "f"),
        codec.decode(raw),
    ):
        if isinstance(read, result.Err):
            assert str(read.err_value).isprintable()
            assert len(str(read.err_value)) < 800
