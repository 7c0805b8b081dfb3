"""Scale tests: the fit, hollow sidecars beside the stand-in for discovery, refusals, and the end."""

from pathlib import Path
from random import Random

import pytest

from larkcrank.lab.scale import slopes
from larkcrank.lab.scale.fit import FitError, fit

SIZES = (30.0, 300.0, 1200.0, 3000.0, 12000.0)


def planted(rng: Random, shape: "dict[float, float]", noise: float) -> list[tuple[float, list[float]]]:
    return [(size, [mean + rng.gauss(0.0, noise) for _ in range(3)]) for size, mean in shape.items()]


def test_planted_slope_lies_in_interval_at_nominal_rate() -> None:
    """95% intervals hold the truth in 95 of 100 seeds: of 400 in 380 +- 13 (three standard deviations)."""
    held = linear = 0
    for seed in range(400):
        found = fit(planted(Random(seed), {size: 31.0 + 0.0013 * size for size in SIZES}, 0.4))
        held += found.low <= 0.0013 <= found.high
        linear += found.linear
    assert 367 <= held <= 393
    assert linear == 400


def test_planted_curve_is_not_linear() -> None:
    for seed in range(50):
        square = planted(Random(seed), {size: 1.0 + (size / 1200.0) ** 2 for size in SIZES}, 0.5)
        assert fit(square).shape == "quadratic"
        level = {1.0: 1.0, 4.0: 2.0, 16.0: 3.0, 64.0: 4.0, 256.0: 5.0}
        assert fit(planted(Random(seed), level, 0.05)).shape == "logarithm"


def test_no_growth_is_a_line_whose_interval_holds_nought() -> None:
    """A flat cost with noise is no curve: in 200 seeds the interval leaves nought out as often as it may."""
    grown = 0
    for seed in range(200):
        found = fit(planted(Random(seed), dict.fromkeys(SIZES, 5.0), 0.2))
        grown += found.grows
    assert grown <= 20


@pytest.mark.parametrize(
    ("points", "why"),
    [
        ([(1.0, [1.0] * 3), (2.0, [1.0] * 3), (3.0, [1.0] * 3)], "3 sizes"),
        ([(1.0, [1.0] * 3), (2.0, [1.0] * 3), (3.0, [1.0] * 3), (4.0, [1.0] * 2)], "under 3 repeats"),
        ([(1.0, [1.0] * 3), (2.0, [1.0] * 3), (3.0, [1.0] * 3), (4.0, [float("nan")] * 3)], "no finite"),
    ],
)
def test_too_little_is_no_slope(points: list[tuple[float, list[float]]], why: str) -> None:
    with pytest.raises(FitError, match=why):
        fit(points)


def test_slopes_come_back_as_written(tmp_path: Path) -> None:
    points = [(size, [size * 2.0, size * 2.0 + 0.1, size * 2.0 - 0.1]) for size in SIZES]
    one = slopes.made(
        points,
        title="t",
        role="sidecar",
        cost="resident memory",
        unit="MiB",
        by="endpoints listed",
        how="hollow",
        command="c",
        run="r",
    )
    slopes.write("one", one, tmp_path)
    (tmp_path / "two.json").write_text('{"title": 3}')
    with pytest.raises(slopes.SlopesError, match=r"two\.json"):
        slopes.read(tmp_path)
    (tmp_path / "two.json").unlink()
    assert slopes.read(tmp_path) == {"one": one}
    assert one.linear and one.low < 2.0 < one.high
