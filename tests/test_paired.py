"""Paired differences: their mean and its confidence interval."""

import random

import pytest

from standins.measure.paired import compare

STEADY = [0.50, 0.70, 0.60, 0.80, 0.40, 0.90]


@pytest.mark.parametrize(
    ("first", "second", "mean", "is_clear"),
    [
        (STEADY, [each - 0.1 for each in STEADY], 0.1, True),
        ([each - 0.1 for each in STEADY], STEADY, -0.1, True),
        (STEADY, STEADY, 0.0, False),
        ([0.5, 0.7, 0.6, 0.8], [0.4, 0.8, 0.5, 0.9], 0.0, False),
        ([0.5, 0.7, 0.6, 0.8], [0.4, 0.5, 0.3, 0.4], 0.25, True),
    ],
)
def test_a_difference_is_clear_if_its_interval_excludes_zero(
    first: list[float], second: list[float], mean: float, is_clear: bool
) -> None:
    found = compare(first, second)
    assert found.mean == pytest.approx(mean)
    assert found.low <= found.mean + 1e-9 and found.mean - 1e-9 <= found.high
    assert found.is_clear is is_clear


def test_variation_between_seeds_does_not_widen_the_interval() -> None:
    """Without pairing, large differences between seeds would hide a difference that all of them show."""
    found = compare(STEADY, [each - 0.1 for each in STEADY])
    assert found.high - found.low < 1e-9


def test_the_interval_of_many_pairs_matches_the_normal_distribution() -> None:
    chance = random.Random(2)
    drawn = [chance.gauss(0.02, 0.05) for _ in range(400)]
    found = compare(drawn, [0.0] * 400)
    mean = sum(drawn) / 400
    half = 1.96 * (sum((each - mean) ** 2 for each in drawn) / 400) ** 0.5 / 400**0.5
    assert found.low == pytest.approx(mean - half, abs=0.0005)
    assert found.high == pytest.approx(mean + half, abs=0.0005)


def test_the_interval_covers_the_true_difference_nearly_as_often_as_stated() -> None:
    """An interval that is far too short would present chance as the effect of a mechanism."""
    chance = random.Random(3)
    covered = 0
    for _ in range(100):
        found = compare([chance.gauss(0.1, 0.05) for _ in range(20)], [0.0] * 20, resamples=400)
        covered += found.low <= 0.1 <= found.high
    assert 88 <= covered <= 99


def test_the_same_pairs_have_the_same_interval() -> None:
    assert compare(STEADY, STEADY[::-1]) == compare(STEADY, STEADY[::-1])


def test_values_without_a_pair_are_an_error() -> None:
    with pytest.raises(ValueError, match="zip"):
        compare(STEADY, STEADY[:-1])
