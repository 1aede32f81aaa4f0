"""Callers that were refused and come back."""

from tamarackbridge.components.admission import returns


def test_caller_counts_once_however_often_it_comes_back() -> None:
    expected = returns.ExpectedRetries()
    found = [
        expected.record_rejection("w", 0.5, step * 0.5) for step in range(6)
    ]
    assert found == [False, True, True, True, True, True]


def test_caller_that_comes_before_its_time_is_another_one() -> None:
    expected = returns.ExpectedRetries()
    assert not expected.record_rejection("w", 0.5, 0.0)
    assert not expected.record_rejection("w", 0.5, 0.1)
    assert not expected.record_rejection("v", 0.5, 0.6)
    assert expected.record_rejection("w", 0.5, 0.6)


def test_caller_that_went_elsewhere_is_not_expected_for_ever() -> None:
    expected = returns.ExpectedRetries()
    expected.record_rejection("w", 0.5, 0.0)
    assert not expected.record_rejection("w", 0.5, 0.6 + returns.LATE_S)
