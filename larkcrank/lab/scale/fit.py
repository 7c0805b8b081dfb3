"""The slope of a cost by size: least squares with a 95% interval, and whether a line is the right shape.

Least squares with Student's t, as textbooks have it (Draper and Smith, *Applied Regression Analysis*, ch. 1);
scipy does the arithmetic. No I/O.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

CONFIDENCE = 0.95
MIN_SIZES = 4
MIN_REPEATS = 3
SURE = 0.01  # a curve must beat the line by an F test at this level ...
DEPARTS = 0.1  # ... and the line must miss the mean at some size by this share of the cost's whole span ...
MATTERS = 0.01  # ... and of the cost itself

Points = Sequence[tuple[float, Sequence[float]]]


class FitError(Exception):
    """Too few sizes or repeats for a slope, or a figure that is none; the message says which."""


@dataclass(slots=True, frozen=True)
class LineFit:
    """y = intercept + slope * x. `low` and `high` bound the slope at 95%; `residual` is the residuals'
    standard deviation in the unit of y. `shape` is `line`, or the better curve: `quadratic` or `logarithm`.
    A slope whose interval holds nought is a line all the same: no growth was seen at these sizes."""

    slope: float
    low: float
    high: float
    intercept: float
    residual: float
    shape: str

    @property
    def linear(self) -> bool:
        return self.shape == "line"

    @property
    def grows(self) -> bool:
        return self.low > 0.0 or self.high < 0.0


def fit_line(points: Points) -> LineFit:
    """The fit of (size, repeats) pairs. Raises `FitError`."""
    from scipy import stats

    xs = [float(size) for size, costs in points for _ in costs]
    ys = [float(cost) for _, costs in points for cost in costs]
    if len({size for size, _ in points}) < MIN_SIZES:
        raise FitError(f"{len({size for size, _ in points})} sizes, at least {MIN_SIZES} are needed")
    if any(len(costs) < MIN_REPEATS for _, costs in points):
        raise FitError(f"a size has under {MIN_REPEATS} repeats")
    if not all(map(math.isfinite, xs + ys)):
        raise FitError("a point is no finite figure")
    found = stats.linregress(xs, ys)
    slope, intercept, freedom = float(found.slope), float(found.intercept), len(xs) - 2
    half = float(stats.t.ppf(0.5 + CONFIDENCE / 2, freedom)) * float(found.stderr)
    half = 0.0 if min(ys) == max(ys) else half  # nothing varies: no figure comes out of nought by nought
    line_rss = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    shape = _shape(points, xs, ys, slope, intercept, line_rss)
    return LineFit(slope, slope - half, slope + half, intercept, math.sqrt(line_rss / freedom), shape)


def _shape(
    points: Points, xs: list[float], ys: list[float], slope: float, intercept: float, line_rss: float
) -> str:
    """The line, unless a curve is surely better and the line misses by a part that matters."""
    means = [(float(size), sum(costs) / len(costs)) for size, costs in points]
    heights = [mean for _, mean in means]
    span = max(heights) - min(heights)
    departs = max(abs(mean - intercept - slope * size) for size, mean in means)
    if departs <= max(DEPARTS * span, MATTERS * max(map(abs, heights))):
        return "line"
    best, shape = SURE, "line"
    scale = max(map(abs, xs)) or 1.0
    curves: dict[str, Callable[[float], float]] = {"quadratic": lambda x: (x / scale) ** 2}
    if min(xs) > 0.0:
        curves["logarithm"] = math.log
    for name, term in curves.items():
        by_chance = _chance(xs, ys, scale, term, line_rss)
        if by_chance < best:
            best, shape = by_chance, name
    return shape


def _chance(
    xs: list[float], ys: list[float], scale: float, term: Callable[[float], float], line_rss: float
) -> float:
    """How likely chance alone makes the term worth as much (F test of one term more)."""
    import numpy
    from scipy import linalg, stats

    matrix = numpy.array([[1.0, x / scale, term(x)] for x in xs])
    wanted = numpy.array(ys)
    terms = linalg.lstsq(matrix, wanted)[0]
    rss = float(((matrix @ terms - wanted) ** 2).sum())
    freedom = len(xs) - 3
    if rss <= 0.0:
        return 0.0
    return float(stats.f.sf((line_rss - rss) / (rss / freedom), 1, freedom))
