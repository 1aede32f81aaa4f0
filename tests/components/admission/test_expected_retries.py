"""Detection of retries among rejected requests."""

from tamarackbridge.components.admission import expected_retries


def test_caller_counts_once_however_often_it_retries() -> None:
    retries = expected_retries.ExpectedRetries()
    are_retries = [
        retries.record_rejection("w", 0.5, step * 0.5) for step in range(6)
    ]
    assert are_retries == [False, True, True, True, True, True]


def test_caller_before_the_advised_time_is_another_one() -> None:
    retries = expected_retries.ExpectedRetries()
    assert not retries.record_rejection("w", 0.5, 0.0)
    assert not retries.record_rejection("w", 0.5, 0.1)
    assert not retries.record_rejection("v", 0.5, 0.6)
    assert retries.record_rejection("w", 0.5, 0.6)


def test_caller_that_went_elsewhere_is_not_expected_forever() -> None:
    retries = expected_retries.ExpectedRetries()
    retries.record_rejection("w", 0.5, 0.0)
    assert not retries.record_rejection("w", 0.5, 0.6 + expected_retries.LATE_S)
