"""Fits a line to a cost measured at several sizes, and tests whether a curve fits better.

Ordinary least squares with Student's t (Draper and Smith, *Applied Regression Analysis*, ch. 1), computed by
scipy. No I/O.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

CONFIDENCE = 0.95
MIN_SIZES = 4
MIN_REPEATS = 3
MAX_CURVE_P_VALUE = 0.01  # of the F test; a curve is chosen only below this level
MIN_DEVIATION_SHARE_OF_RANGE = 0.1  # a curve is tried only if the line misses a mean by more than this ...
MIN_DEVIATION_SHARE_OF_COST = 0.01  # ... and than this share of the largest mean

Points = Sequence[tuple[float, Sequence[float]]]


class FitError(Exception):
    """Too few sizes or repeats, or a value that is not finite. The message says which."""


@dataclass(slots=True, frozen=True)
class LineFit:
    """The fitted line y = intercept + slope * x.

    `low` and `high` are the 95% interval of the slope. `residual` is the standard deviation of the residuals,
    in the unit of y. `shape` is `line`, or the curve that fits better: `quadratic` or `logarithm`. If the
    interval contains zero, the shape is still `line`: no growth was seen at these sizes.
    """

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
    """Fits the costs in (size, costs of all repeats) pairs. Raises `FitError`."""
    from scipy import stats

    xs = [float(size) for size, costs in points for _ in costs]
    ys = [float(cost) for _, costs in points for cost in costs]
    if len({size for size, _ in points}) < MIN_SIZES:
        raise FitError(f"{len({size for size, _ in points})} sizes; at least {MIN_SIZES} are needed")
    if any(len(costs) < MIN_REPEATS for _, costs in points):
        raise FitError(f"a size has under {MIN_REPEATS} repeats")
    if not all(map(math.isfinite, xs + ys)):
        raise FitError("a point has no finite value")
    regression = stats.linregress(xs, ys)
    slope, intercept, degrees_of_freedom = float(regression.slope), float(regression.intercept), len(xs) - 2
    half_width = float(stats.t.ppf(0.5 + CONFIDENCE / 2, degrees_of_freedom)) * float(regression.stderr)
    half_width = 0.0 if min(ys) == max(ys) else half_width  # a constant cost gives NaN (0 / 0)
    line_rss = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    shape = _best_shape(points, xs, ys, slope, intercept, line_rss)
    return LineFit(
        slope,
        slope - half_width,
        slope + half_width,
        intercept,
        math.sqrt(line_rss / degrees_of_freedom),
        shape,
    )


def _best_shape(
    points: Points, xs: list[float], ys: list[float], slope: float, intercept: float, line_rss: float
) -> str:
    """Returns `line`, unless the line misses the means by a relevant part and a curve is significantly
    better."""
    means = [(float(size), sum(costs) / len(costs)) for size, costs in points]
    mean_costs = [mean for _, mean in means]
    cost_range = max(mean_costs) - min(mean_costs)
    largest_deviation = max(abs(mean - intercept - slope * size) for size, mean in means)
    if largest_deviation <= max(
        MIN_DEVIATION_SHARE_OF_RANGE * cost_range, MIN_DEVIATION_SHARE_OF_COST * max(map(abs, mean_costs))
    ):
        return "line"
    best_p_value, shape = MAX_CURVE_P_VALUE, "line"
    scale = max(map(abs, xs)) or 1.0
    curve_terms: dict[str, Callable[[float], float]] = {"quadratic": lambda x: (x / scale) ** 2}
    if min(xs) > 0.0:
        curve_terms["logarithm"] = math.log
    for name, term in curve_terms.items():
        p_value = _p_value(xs, ys, scale, term, line_rss)
        if p_value < best_p_value:
            best_p_value, shape = p_value, name
    return shape


def _p_value(
    xs: list[float], ys: list[float], scale: float, term: Callable[[float], float], line_rss: float
) -> float:
    """Returns the p-value of adding `term` to the line (F test with one more coefficient)."""
    import numpy
    from scipy import linalg, stats

    matrix = numpy.array([[1.0, x / scale, term(x)] for x in xs])
    observed = numpy.array(ys)
    coefficients = linalg.lstsq(matrix, observed)[0]
    rss = float(((matrix @ coefficients - observed) ** 2).sum())
    degrees_of_freedom = len(xs) - 3
    if rss <= 0.0:
        return 0.0
    return float(stats.f.sf((line_rss - rss) / (rss / degrees_of_freedom), 1, degrees_of_freedom))
