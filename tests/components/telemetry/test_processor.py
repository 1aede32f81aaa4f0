"""Tests of counting processor time by purpose.

They guard against time that is counted for two purposes, where sections are
nested, and against time that is lost when a section raises.
"""

from tamarackbridge.components.telemetry import metrics, processor

_Purpose = processor.Purpose


class _Clock:
    def __init__(self) -> None:
        self.now = 5.0

    def __call__(self) -> float:
        return self.now


def test_time_of_nested_section_counts_for_inner_purpose_only() -> None:
    clock = _Clock()
    spent = processor.ProcessorTime(clock)
    clock.now += 1.0
    with spent.section(_Purpose.SHARING):
        clock.now += 2.0
        with spent.section(_Purpose.DECIDING):
            clock.now += 4.0
        clock.now += 8.0
    clock.now += 16.0
    assert spent.spent_s[_Purpose.SHARING] == 10.0
    assert spent.spent_s[_Purpose.DECIDING] == 4.0
    assert sum(spent.spent_s.values()) == 14.0


def test_section_that_raises_is_counted() -> None:
    clock = _Clock()
    spent = processor.ProcessorTime(clock)

    def fail(seconds: float) -> None:
        clock.now += seconds
        raise ValueError

    call = spent.wrap(_Purpose.READING, fail)
    for _ in range(2):
        try:
            call(3.0)
        except ValueError:
            clock.now += 1.0
    assert spent.spent_s[_Purpose.READING] == 6.0


def test_each_purpose_is_exposed_as_a_label() -> None:
    clock = _Clock()
    spent = processor.ProcessorTime(clock)
    with spent.section(_Purpose.RELAYING):
        clock.now += 1.5
    registry = metrics.Metrics()
    registry.processor("spent_seconds", spent)
    text = registry.render().decode()
    assert 'tamarackbridge_spent_seconds_total{purpose="relaying"} 1.5' in text
    assert 'tamarackbridge_spent_seconds_total{purpose="sharing"} 0.0' in text
