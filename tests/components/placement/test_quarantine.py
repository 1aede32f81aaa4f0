"""Which prompt blocks are quarantined after crashes of servers."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from tamarackbridge.components.gateway import jobs, models, request_body
from tamarackbridge.components.placement import crash_evidence, quarantine
from tests.components.knowledge import builders

ROUTERS = ("r1", "r2", "r3")
SYSTEM, SUBJECT, DEADLY = "a", "b", "dd"
DEADLY_PROMPT = (SYSTEM, SUBJECT, DEADLY)


def _suspect(
    crash: int,
    *blocks: str,
    has_begun: bool = True,
    sent_s_before: float = 0.2,
) -> crash_evidence.Suspect:
    """Returns a suspect of the crash of server `crash` at that second."""
    return crash_evidence.Suspect(
        f"i-{crash}",
        0,
        frozenset(blocks),
        has_begun,
        crash - sent_s_before,
        float(crash),
    )


def _crash(
    evidence: quarantine.BlockQuarantine, *crashes: int, blocks: tuple[str, ...]
) -> None:
    for crash in crashes:
        evidence.record_suspects((_suspect(crash, *blocks),), float(crash))


def _remaining_s(
    evidence: quarantine.BlockQuarantine, now: float, *blocks: str
) -> float:
    return evidence.remaining_s(lambda: frozenset(blocks), lambda: ROUTERS, now)


@pytest.mark.parametrize(("has_begun", "crashes"), [(True, 2), (False, 4)])
def test_block_is_quarantined_before_the_fifth_crash(
    has_begun: bool, crashes: int
) -> None:
    evidence = quarantine.BlockQuarantine("r1")
    for crash in range(1, crashes + 1):
        assert _remaining_s(evidence, crash, *DEADLY_PROMPT) == 0
        suspect = _suspect(crash, *DEADLY_PROMPT, has_begun=has_begun)
        evidence.record_suspects((suspect,), float(crash))
    assert _remaining_s(evidence, crashes, *DEADLY_PROMPT) > 0


def test_loss_of_many_servers_at_once_is_one_crash() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    for server in range(20):
        suspect = crash_evidence.Suspect(
            f"i-{server}", 0, frozenset((SYSTEM,)), True, 9.0, 10.0
        )
        evidence.record_suspects((suspect,), 10.0)
    assert _remaining_s(evidence, 10.0, SYSTEM) == 0


def test_several_requests_at_one_server_are_one_crash() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    for subject in ("b1", "b2", "b3"):
        evidence.record_suspects((_suspect(1, SYSTEM, subject),), 1.0)
    assert _remaining_s(evidence, 1.0, SYSTEM, "b1") == 0


def test_answer_between_crashes_clears_the_block() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    for crash in (1, 2, 3, 4):
        _crash(evidence, crash, blocks=(SYSTEM, SUBJECT))
        evidence.record_answer((SYSTEM, "other"), crash + 0.1)
        evidence.record_answer((SUBJECT,), crash + 0.2)
    assert _remaining_s(evidence, 4.5, SYSTEM, SUBJECT) == 0


def test_answer_before_the_report_of_a_crash_clears_the_block() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    evidence.record_answer((SYSTEM, SUBJECT), 2.1)
    _crash(evidence, 1, 2, blocks=(SYSTEM, SUBJECT))
    assert _remaining_s(evidence, 2.2, SYSTEM, SUBJECT) == 0
    # The reporting router may not know of the answer.
    assert evidence.clearances(2.2) == {SYSTEM: 2.1, SUBJECT: 2.1}


def test_answer_clears_a_block_after_a_report_of_an_earlier_answer() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    _crash(evidence, 1, 2, 3, blocks=(SUBJECT,))
    evidence.apply_clearance(SUBJECT, 1.5)
    assert _remaining_s(evidence, 3.0, SUBJECT) > 0
    evidence.record_answer((SUBJECT,), 3.5)
    assert _remaining_s(evidence, 3.5, SUBJECT) == 0


def test_sound_requests_with_the_other_blocks_are_sent() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    _crash(evidence, 1, 2, blocks=DEADLY_PROMPT)
    assert _remaining_s(evidence, 2.0, SYSTEM, SUBJECT) == 0
    evidence.record_answer((SYSTEM, SUBJECT), 2.3)
    assert _remaining_s(evidence, 2.4, SYSTEM, SUBJECT) == 0
    # Any prompt with the block is rejected once the others are cleared.
    assert _remaining_s(evidence, 2.4, "other", DEADLY) > 0


def test_crashes_with_other_blocks_isolate_the_deadly_block() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    _crash(evidence, 1, blocks=(SYSTEM, "b1", DEADLY))
    _crash(evidence, 2, blocks=("a2", "b2", DEADLY))
    assert _remaining_s(evidence, 2.0, "a3", "b3", DEADLY) > 0
    for sound in ((SYSTEM, "b1"), ("a2", "b2")):
        assert _remaining_s(evidence, 2.0, *sound) == 0


def test_one_router_tries_one_request_after_the_quarantine() -> None:
    fleet = {name: quarantine.BlockQuarantine(name) for name in ROUTERS}
    for evidence in fleet.values():
        _crash(evidence, 1, 2, blocks=(DEADLY,))
    now = 2.0 + quarantine.QUARANTINE_S
    for evidence in fleet.values():
        assert 0 < _remaining_s(evidence, now - 1.0, DEADLY) <= 1.0
    trying = [
        name
        for name, evidence in fleet.items()
        if _remaining_s(evidence, now, DEADLY) == 0
    ]
    assert len(trying) == 1
    evidence = fleet[trying[0]]
    evidence.record_sent((DEADLY,), now)
    assert _remaining_s(evidence, now + 0.1, DEADLY) > 0
    evidence.record_answer((DEADLY,), now + 0.2)
    assert _remaining_s(evidence, now + 0.3, DEADLY) == 0
    assert DEADLY in evidence.clearances(now + 0.3)


def test_crash_in_a_trial_doubles_the_quarantine() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    _crash(evidence, 1, 2, 70, blocks=(DEADLY,))
    left_s = _remaining_s(evidence, 70.0, DEADLY)
    assert left_s == 2 * quarantine.QUARANTINE_S
    _crash(evidence, *range(200, 240), blocks=(DEADLY,))
    left_s = _remaining_s(evidence, 239.0, DEADLY)
    assert left_s == quarantine.MAX_QUARANTINE_S


def test_evidence_of_a_long_quarantine_is_received_together() -> None:
    sender = quarantine.BlockQuarantine("r1")
    _crash(sender, 1, 2, 70, blocks=(DEADLY,))
    now = 150.0
    receiver = quarantine.BlockQuarantine("r2")
    added = receiver.record_suspects(sender.suspects(now), now)
    assert added == [DEADLY]
    left_s = _remaining_s(sender, now, DEADLY)
    assert _remaining_s(receiver, now, DEADLY) == left_s > 0


def test_old_evidence_is_dropped() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    _crash(evidence, 1, blocks=(DEADLY,))
    later = 2 + int(quarantine.EVIDENCE_S)
    _crash(evidence, later, blocks=(DEADLY,))
    _crash(evidence, later + 1, blocks=("other",))
    assert _remaining_s(evidence, later + 1.0, DEADLY) == 0


def test_evidence_is_bounded_and_keeps_the_strongest() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    _crash(evidence, 1, 2, blocks=(DEADLY,))
    for number in range(1_000):
        suspect = _suspect(3, f"x{number}", has_begun=False)
        evidence.record_suspects((suspect,), 3.0)
    assert len(evidence.suspects(3.0)) == quarantine.MAX_SUSPECTS
    assert _remaining_s(evidence, 3.0, DEADLY) > 0


def test_last_blocks_of_a_long_prompt_are_considered() -> None:
    blocks = tuple(models.PromptBlock(f"n{number}", 1) for number in range(99))
    found = crash_evidence.shared_blocks(blocks)
    assert len(found) == crash_evidence.MAX_BLOCKS
    assert "n97" in found


def test_blocks_of_a_suspect_are_bounded() -> None:
    evidence = quarantine.BlockQuarantine("r1")
    evidence.record_suspects((_suspect(1, *map(str, range(500))),), 1.0)
    (suspect,) = evidence.suspects(1.0)
    assert len(suspect.blocks) == crash_evidence.MAX_BLOCKS


def _job(workspace: str = "w", **fields: object) -> jobs.Job:
    request = models.Request(
        request_id="q1",
        method="POST",
        host="a",
        target="/x/1",
        headers=(),
        key="k",
        caller_timeout_s=None,
        prompt_tokens=0,
        output_tokens=0,
        output_hint=0,
        prompt_blocks=(),
        resume_after="",
        body=request_body.RequestBody(b"question"),
    )
    return jobs.Job(
        dataclasses.replace(request, **fields),  # type: ignore[arg-type]
        builders.route(),
        builders.model_service(),
        workspace,
        0.0,
        1.0,
    )


def test_request_has_one_identifier_whenever_it_is_sent() -> None:
    (first,) = crash_evidence.parts(_job())
    again = _job(request_id="q2", resume_after="7", caller_timeout_s=2.0)
    assert crash_evidence.parts(again) == {first}
    others = [
        _job(workspace="v"),
        _job(method="PUT"),
        _job(host="b"),
        _job(target="/x/1?"),
        _job(body=request_body.RequestBody(b"question ")),
        _job(method="POSTa", host=""),
    ]
    found = {crash_evidence.parts(job) for job in others}
    assert len(found | {frozenset((first,))}) == 1 + len(others)


def test_requests_with_other_shared_blocks_are_others() -> None:
    def parts(*names: str) -> frozenset[str]:
        blocks = tuple(models.PromptBlock(name, 1) for name in names)
        return crash_evidence.parts(_job(prompt_blocks=blocks))

    assert parts("a", "own") == parts("a", "new")
    assert len(parts("a", "own") | parts("b", "own")) == 4
    assert len(parts("a", "b", "own") & parts("ab", "own")) == 0


def test_block_can_not_be_named_like_a_request() -> None:
    """Guards against callers who let requests of others be refused, or run."""
    (name,) = crash_evidence.parts(_job())
    blocks = (models.PromptBlock(name, 1), models.PromptBlock("own", 1))
    assert name not in crash_evidence.shared_blocks(blocks)


def test_quarantined_request_is_no_companion_of_its_blocks() -> None:
    """Others with the blocks may be as deadly, and the request without them."""
    evidence = quarantine.BlockQuarantine("r1")
    (name,) = crash_evidence.parts(_job())
    _crash(evidence, 1, 2, blocks=(DEADLY, name))
    assert _remaining_s(evidence, 3.0, DEADLY) > 0
    assert _remaining_s(evidence, 3.0, name) > 0
    evidence.record_answer([DEADLY], 3.5)
    assert _remaining_s(evidence, 4.0, DEADLY) == 0
    assert _remaining_s(evidence, 4.0, name) > 0


def test_long_names_of_callers_are_replaced_by_a_hash() -> None:
    names = ("ab" * 500, "ab" * 500 + "c", "short", "own")
    blocks = tuple(models.PromptBlock(name, 1) for name in names)
    found = crash_evidence.shared_blocks(blocks)
    assert len(found) == 3
    assert "short" in found
    assert all(len(name) <= crash_evidence.MAX_NAME_CHARS for name in found)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(1, 12),
            st.sets(st.sampled_from("abcde"), min_size=1, max_size=3),
            st.booleans(),
        ),
        max_size=10,
        unique_by=lambda entry: entry[0],
    ),
    st.lists(
        st.tuples(st.sampled_from("abcde"), st.integers(1, 12)), max_size=4
    ),
    st.randoms(use_true_random=False),
)
def test_order_of_reports_does_not_matter(
    crashes: list[tuple[int, set[str], bool]],
    answers: list[tuple[str, int]],
    rng: random.Random,
) -> None:
    def receive(reports: list[tuple[str, object]]) -> set[str]:
        evidence = quarantine.BlockQuarantine("r1")
        for kind, report in reports:
            if isinstance(report, crash_evidence.Suspect):
                evidence.record_suspects((report,), 13.0)
            else:
                assert isinstance(report, float)
                evidence.apply_clearance(kind, report)
        return {b for b in "abcde" if evidence.is_quarantined(b, 13.0)}

    reports: list[tuple[str, object]] = [
        ("", _suspect(crash, *blocks, has_begun=has_begun))
        for crash, blocks, has_begun in crashes
    ]
    reports += [(block, at + 0.5) for block, at in answers]
    shuffled = rng.sample(reports, len(reports))
    assert receive(reports) == receive(shuffled)
