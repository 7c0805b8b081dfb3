"""What measured slopes make of the operators' numbers: the tables of docs/CAPACITY.md.

Each figure carries its formula with the numbers in it, so that a reader can redo it. A slope that was not
measured makes every figure that needs it "not known". A cost that is no line is read off its points, and is
not known beyond the largest of them.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

import click
import msgspec

from larkcrank.lab.scale import slopes
from larkcrank.lab.scale.path import STAGE_DESCRIPTIONS
from larkcrank.lab.scale.slopes import Slope
from larkcrank.lab.scale.view import RATE_MEMBERS

NUMBERS_FILE = Path("examples/scale/operators.toml")
SECONDS_PER_DAY = 86_400.0
WATCH_TIMEOUT_S = 60.0  # a watch without news is answered and asked anew after so long
PER_SERVICE = "endpoints a service"
RESOURCES = ("state", "messages", "processor", "memory", "time")


class PlanError(Exception):
    """The numbers can't be used; the message names file, key and value."""


class _Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A key that is not known is a fault of the file."""


class Fleet(_Strict, frozen=True):
    endpoints: int
    services: int
    calls_per_s: float
    depth: int
    regions: int
    zones: int
    machines: int
    called: int


class Day(_Strict, frozen=True):
    changes: int
    failed: int
    restarted: int
    burst: float


class Lost(_Strict, frozen=True):
    rack: int
    zone: int
    region: int
    apart_s: float


class Budgets(_Strict, frozen=True):
    added_ms: float
    in_force_s: float
    core_percent: float
    memory_mb: float
    bytes_per_s: float


class OperatorNumbers(_Strict, frozen=True):
    """The operators' numbers, as examples/scale/operators.toml explains them."""

    fleet: Fleet
    day: Day
    lost: Lost
    budgets: Budgets


def load_numbers(path: Path) -> OperatorNumbers:
    """Read the operators' numbers. Raises `PlanError`."""
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=OperatorNumbers)
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: {error}") from None
    for name, part in msgspec.to_builtins(found).items():
        for key, value in part.items():
            if not 0 < value < math.inf:
                raise PlanError(f"{path}: {name}.{key}: {value} is not above nought")
    return found


# Figures


def format_number(value: float) -> str:
    """Four digits that count, thousands apart."""
    if value == 0.0 or not math.isfinite(value):
        return f"{value:g}"
    digits = max(3 - math.floor(math.log10(abs(value))), 0)
    text = f"{round(value, digits):,.{min(digits, 9)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


@dataclass(slots=True, frozen=True)
class Figure:
    """A number with its 95% interval, how it came about, and from which series. `value` None: not known."""

    value: float | None
    low: float = 0.0
    high: float = 0.0
    formula: str = ""
    series: tuple[str, ...] = ()
    is_extrapolated: bool = False  # beyond the sizes that were measured
    is_interpolated: bool = False  # of a cost that is no line

    def times(self, factor: float, text: str = "") -> "Figure":
        text = text or format_number(factor)
        ends = sorted((self.low * factor, self.high * factor))
        formula = f"({self.formula})" if " + " in self.formula or " - " in self.formula else self.formula
        found = replace(self, low=ends[0], high=ends[1], formula=f"{formula} x {text}")
        return found if self.value is None else replace(found, value=self.value * factor)

    def plus(self, other: "Figure") -> "Figure":
        known = self.value is not None and other.value is not None
        if not self.formula:
            return other
        return Figure(
            (self.value or 0.0) + (other.value or 0.0) if known else None,
            self.low + other.low,
            self.high + other.high,
            f"{self.formula} + {other.formula}",
            self.series + tuple(one for one in other.series if one not in self.series),
            self.is_extrapolated or other.is_extrapolated,
            self.is_interpolated or other.is_interpolated,
        )


def exact_figure(value: float, formula: str) -> Figure:
    """From the operators' numbers alone."""
    return Figure(value, value, value, formula)


@dataclass(slots=True)
class MeasuredSlopes:
    """What was measured, by name."""

    slopes: Mapping[str, Slope]
    used: dict[str, Slope] = field(default_factory=dict)
    missing: set[str] = field(default_factory=set)

    def cost_at(self, name: str, size: float) -> Figure:
        """The cost at a size, and the 95% interval of its mean."""
        found = self.slopes.get(name)
        if found is None:
            self.missing.add(name)
            return Figure(None, formula=f"[{name}] at {format_number(size)}")
        self.used[name] = found
        logarithm = found.by.startswith("log10")
        x = math.log10(size) if logarithm else size
        largest = max(point for point, _ in found.points)
        by = f"log10 {format_number(size)}" if logarithm else format_number(x)
        if not found.linear:
            return self._read_off(found, name, x, by)
        mean = found.intercept + found.slope * x
        half = interval_half_width(found, x)
        sign = "-" if found.slope < 0.0 else "+"
        formula = f"{format_number(found.intercept)} {sign} {format_number(abs(found.slope))} x {by}"
        return Figure(mean, mean - half, mean + half, formula, (name,), is_extrapolated=x > largest)

    def growth_over(self, name: str, size: float) -> Figure:
        """What a size adds to nothing: the slope alone."""
        found = self.slopes.get(name)
        if found is None:
            self.missing.add(name)
            return Figure(None, formula=f"[{name}] for {format_number(size)}")
        largest = max(point for point, _ in found.points)
        self.used[name] = found
        if not found.linear:
            at, least = self._read_off(found, name, size, format_number(size)), _mean(min(found.points)[1])
            if at.value is None:
                return at
            return replace(
                at,
                value=at.value - least,
                low=at.low - least,
                high=at.high - least,
                formula=f"{at.formula} - {format_number(least)}",
            )
        low, high = sorted((found.low * size, found.high * size))
        formula = f"{format_number(found.slope)} x {format_number(size)}"
        return Figure(found.slope * size, low, high, formula, (name,), is_extrapolated=size > largest)

    def _read_off(self, slope: Slope, name: str, x: float, by: str) -> Figure:
        points = sorted(slope.points)
        if not points[0][0] <= x <= points[-1][0]:
            self.missing.add(f"{name} at {by}")
            formula = f"[{name}] is no line, and was not measured at {by}"
            return Figure(None, formula=formula, series=(name,))
        above = next(index for index, (size, _) in enumerate(points) if size >= x)
        (left, lower), (right, upper) = points[max(above - 1, 0)], points[above]
        part = 0.0 if right == left else (x - left) / (right - left)
        mean, more = _mean(lower), _mean(upper)
        if x == right:
            return Figure(more, min(upper), max(upper), format_number(more), (name,), is_interpolated=True)
        value = mean + (more - mean) * part
        every = lower + upper
        formula = (
            f"{format_number(mean)} + ({format_number(more)} - {format_number(mean)}) x {format_number(part)}"
        )
        return Figure(value, min(every), max(every), formula, (name,), is_interpolated=True)

    def preferred_name(self, name: str) -> str:
        """Real processes' series where there is one, else that of hollow sidecars."""
        return f"{name}-real" if f"{name}-real" in self.slopes else name


def interval_half_width(slope: Slope, x: float) -> float:
    """Half of the 95% interval of a line's mean at x: t s sqrt(1/n + (x - mean)^2 / Sxx)."""
    xs = [size for size, costs in slope.points for _ in costs]
    mean = sum(xs) / len(xs)
    spread = sum((one - mean) ** 2 for one in xs)
    if spread <= 0.0 or slope.residual <= 0.0:
        return 0.0
    # The file's own interval of the slope holds t: high - slope = t s / sqrt(Sxx).
    t = (slope.high - slope.slope) * math.sqrt(spread) / slope.residual
    return t * slope.residual * math.sqrt(1.0 / len(xs) + (x - mean) ** 2 / spread)


def _mean(costs: list[float]) -> float:
    return sum(costs) / len(costs)


# Rows


@dataclass(slots=True, frozen=True)
class Row:
    scenario: str
    role: str
    distribution: str  # how changes come: one discovery, or tiers; empty: it makes no difference
    resource: str  # one of KINDS
    description: str
    figure: Figure
    unit: str
    budget: float | None = None

    @property
    def verdict(self) -> str:
        figure, budget = self.figure, self.budget
        if figure.value is None:
            return "not known"
        if budget is None:
            return "no budget"
        if figure.high <= budget:
            return "holds"
        if figure.low > budget:
            return f"**short by {format_number(figure.value - budget)} {self.unit}**"
        return "not known: the interval holds the budget"


ORIGIN_MACHINES = 2  # one that is asked, and one that stands by
ONE_DISCOVERY, TIERS = "one discovery", "tiers"
ORDINARY_DAY, RACK_LOST, ZONE_LOST = "ordinary", "rack or switch lost", "zone lost"
REGION_APART, POWER_LOSS = "region apart", "all at once after a power loss"
TIER_MACHINE_LOST = "a zone tier's machine lost"
DATA_PATH, SIDECAR_CONTROL, DISCOVERY_SIDE = (
    "sidecar, data path",
    "sidecar, control",
    "discovery or what stands between",
)
VIEW_MEMBERS, OPERATOR_TOOLS = "members of the view", "operators' tools"


class CapacityPlan:
    """The rows, day by day and role by role."""

    def __init__(self, numbers: OperatorNumbers, found: Mapping[str, Slope]) -> None:
        self.numbers = numbers
        self.measured = MeasuredSlopes(found)
        fleet, day = numbers.fleet, numbers.day
        self._all = float(fleet.endpoints)
        self._each = fleet.endpoints / fleet.services
        self._part = round(fleet.called * self._each)
        self._rate = day.changes / SECONDS_PER_DAY
        self._listed = {ONE_DISCOVERY: self._all, TIERS: float(self._part)}
        self._zone = fleet.endpoints / fleet.zones
        self._restarts = (day.restarted + day.failed) / SECONDS_PER_DAY
        self.rows = list(self._rows())

    def _rows(self) -> Iterator[Row]:
        yield from self._ordinary_path()
        for way in (ONE_DISCOVERY, TIERS):
            yield from self._ordinary_control(way)
        yield from self._ordinary_between()
        yield from self._ordinary_view()
        yield from self._tools()
        yield from self._lost(RACK_LOST, self.numbers.lost.rack, "rack")
        yield from self._lost(ZONE_LOST, self.numbers.lost.zone, "zone")
        yield from self._region()
        yield from self._power()
        yield from self._machine()

    # An ordinary day

    def _ordinary_path(self) -> Iterator[Row]:
        fleet, budget = self.numbers.fleet, self.numbers.budgets.added_ms
        calls = fleet.calls_per_s / fleet.endpoints
        at = self.measured.cost_at
        formula = f"{format_number(fleet.calls_per_s)} / {format_number(self._all)}"
        yield Row(ORDINARY_DAY, DATA_PATH, "", "messages", "calls", exact_figure(calls, formula), "a second")
        processor = at("path-processor", calls)
        yield Row(ORDINARY_DAY, DATA_PATH, "", "processor", "at this rate", processor, "% of a core")
        yield Row(ORDINARY_DAY, DATA_PATH, "", "time", "added, median", at("path-added-median", calls), "ms")
        for name, words in (("", "as measured"), ("alone-", "with a processor to itself")):
            tail = at("path-added-p99" if not name else "path-alone-p99", calls)
            yield Row(ORDINARY_DAY, DATA_PATH, "", "time", f"added, 99 in 100, {words}", tail, "ms", budget)
            deep = at(f"path-{name}row-p99", fleet.depth)
            what = f"{fleet.depth} in a row, 99 in 100, {words}"
            yield Row(ORDINARY_DAY, DATA_PATH, "", "time", what, deep, "ms", budget)

    def _ordinary_control(self, way: str) -> Iterator[Row]:
        budgets, listed, series = self.numbers.budgets, self._listed[way], self.measured
        rate, text = self._heard(way)
        yield Row(ORDINARY_DAY, SIDECAR_CONTROL, way, "state", "endpoints listed", self._lines(way), "lines")
        lists = series.cost_at(series.preferred_name("sidecar-change-bytes-by-endpoints"), listed).times(
            rate, text
        )
        yield Row(ORDINARY_DAY, SIDECAR_CONTROL, way, "messages", "lists", lists, "B/s", budgets.bytes_per_s)
        both = lists.plus(self._view_bytes())
        yield Row(
            ORDINARY_DAY, SIDECAR_CONTROL, way, "messages", "lists and view", both, "B/s", budgets.bytes_per_s
        )
        idle = series.cost_at(series.preferred_name("sidecar-idle-by-endpoints"), listed)
        change = series.cost_at(series.preferred_name("sidecar-change-cpu-by-endpoints"), listed)
        spent = idle.plus(change.times(rate / 10.0, f"{text} / 10"))
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            way,
            "processor",
            "idle, and changes",
            spent,
            "% of a core",
            budgets.core_percent,
        )
        burst = idle.plus(
            change.times(
                rate * self.numbers.day.burst / 10.0, f"{text} x {format_number(self.numbers.day.burst)} / 10"
            )
        )
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            way,
            "processor",
            "the same in a burst",
            burst,
            "% of a core",
            budgets.core_percent,
        )
        viewed = spent.plus(series.cost_at("view-processor", self._all))
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            way,
            "processor",
            "and the view",
            viewed,
            "% of a core",
            budgets.core_percent,
        )
        memory = series.growth_over(series.preferred_name("sidecar-memory-by-endpoints"), listed)
        most = budgets.memory_mb * 1e6 / (1 << 20)
        yield Row(ORDINARY_DAY, SIDECAR_CONTROL, way, "memory", "what the list adds", memory, "MiB", most)
        viewed = memory.plus(series.cost_at("view-memory", self._all))
        yield Row(ORDINARY_DAY, SIDECAR_CONTROL, way, "memory", "and the view", viewed, "MiB", most)
        whole = series.cost_at(series.preferred_name("sidecar-memory-by-endpoints"), listed)
        yield Row(
            ORDINARY_DAY, SIDECAR_CONTROL, way, "memory", "the whole process, its data path too", whole, "MiB"
        )

    def _heard(self, way: str) -> tuple[float, str]:
        """Changes a second that a sidecar is told, and the arithmetic."""
        text = f"{format_number(self.numbers.day.changes)} / {format_number(SECONDS_PER_DAY)}"
        if way == ONE_DISCOVERY:
            return self._rate, text
        return self._rate * self._part / self._all, f"{text} x {self._part} / {format_number(self._all)}"

    def _lines(self, way: str) -> Figure:
        if way == ONE_DISCOVERY:
            return exact_figure(self._all, format_number(self._all))
        return exact_figure(
            self._part,
            f"{self.numbers.fleet.called} x {format_number(self._all)} / {self.numbers.fleet.services}",
        )

    def _view_bytes(self) -> Figure:
        """A member tells a piece of news as often as the logarithm of the members says (membership.py)."""
        day = self.numbers.day
        text = f"({format_number(day.restarted)} + {day.failed}) / {format_number(SECONDS_PER_DAY)}"
        more = self.measured.growth_over("view-restart-bytes", self._restarts)
        if more.value is not None:
            more = replace(
                more, formula=f"{format_number(self.measured.slopes['view-restart-bytes'].slope)} x {text}"
            )
        tellings = math.log2(self._all) / math.log2(RATE_MEMBERS)
        more = more.times(tellings, f"log2 {format_number(self._all)} / log2 {RATE_MEMBERS}")
        return self.measured.cost_at("view-calm-bytes", self._all).plus(more)

    def _ordinary_between(self) -> Iterator[Row]:
        budgets, series = self.numbers.budgets, self.measured
        text = f"{format_number(self.numbers.day.changes)} / {format_number(SECONDS_PER_DAY)}"
        watchers = self._all
        calls = watchers * (self._rate + 1.0 / WATCH_TIMEOUT_S)
        formula = f"{format_number(watchers)} x ({text} + 1 / {format_number(WATCH_TIMEOUT_S)})"
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "state",
            "open watches",
            exact_figure(watchers, format_number(watchers)),
            "watches",
        )
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "messages",
            "calls",
            exact_figure(calls, formula),
            "a second",
        )
        sent = series.cost_at("discovery-bytes-by-watchers", watchers).times(
            self._rate / 1e6, f"{text} / 1,000,000"
        )
        yield Row(ORDINARY_DAY, DISCOVERY_SIDE, ONE_DISCOVERY, "messages", "sent", sent, "MB/s")
        spent = series.cost_at("discovery-cpu-by-watchers", watchers).times(self._rate / 10.0, f"{text} / 10")
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "processor",
            "one process, one core",
            spent,
            "% of a core",
            100.0,
        )
        burst = spent.times(self.numbers.day.burst)
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "processor",
            "the same in a burst",
            burst,
            "% of a core",
            100.0,
        )
        memory = series.cost_at("discovery-memory-by-watchers", watchers)
        yield Row(ORDINARY_DAY, DISCOVERY_SIDE, ONE_DISCOVERY, "memory", "one process", memory, "MiB")
        written = series.cost_at("discovery-write-by-watchers", watchers).times(1e-3, "1 / 1,000")
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "time",
            "a lone change, written to all",
            written,
            "s",
            budgets.in_force_s,
        )
        last = series.cost_at("path-last-by-watchers", watchers).times(1e-3, "1 / 1,000")
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "time",
            "a lone change in force, the last of all, on one machine",
            last,
            "s",
            budgets.in_force_s,
        )
        for tier, count, over in self._tiers():
            formula = f"{format_number(count)} / {format_number(over)}"
            receivers = count / over
            yield Row(
                ORDINARY_DAY,
                DISCOVERY_SIDE,
                TIERS,
                "state",
                f"{tier}: receivers",
                exact_figure(receivers, formula),
                "watches",
            )
            spent = series.cost_at("tier-cpu-by-watchers", receivers).times(self._rate / 10.0, f"{text} / 10")
            yield Row(
                ORDINARY_DAY, DISCOVERY_SIDE, TIERS, "processor", f"{tier}", spent, "% of a core", 100.0
            )
            sent = series.cost_at("tier-bytes-by-watchers", receivers).times(self._rate, text)
            yield Row(ORDINARY_DAY, DISCOVERY_SIDE, TIERS, "messages", f"{tier}: sent", sent, "B/s")
            memory = series.cost_at("tier-memory-by-watchers", receivers)
            yield Row(ORDINARY_DAY, DISCOVERY_SIDE, TIERS, "memory", f"{tier}", memory, "MiB")
        last = series.cost_at("tier-last-by-sidecars", self._all).times(1e-3, "1 / 1,000")
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            TIERS,
            "time",
            "a lone change, the last of all",
            last,
            "s",
            budgets.in_force_s,
        )

    def _tiers(self) -> Iterable[tuple[str, float, float]]:
        fleet = self.numbers.fleet
        return (
            ("origin", float(fleet.regions), 1.0),
            ("region tier", float(fleet.zones), float(fleet.regions)),
            ("zone tier", self._all, float(fleet.zones)),
        )

    def _ordinary_view(self) -> Iterator[Row]:
        at, everyone, budgets = self.measured.cost_at, self._all, self.numbers.budgets
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "state",
            "members known",
            exact_figure(everyone, format_number(everyone)),
            "records",
        )
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "messages",
            "datagrams sent",
            at("view-calm-datagrams", everyone),
            "a second",
        )
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "messages",
            "sent, with restarts told",
            self._view_bytes(),
            "B/s",
            budgets.bytes_per_s,
        )
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "processor",
            "besides socket and loop",
            at("view-processor", everyone),
            "% of a core",
            budgets.core_percent,
        )
        most = budgets.memory_mb * 1e6 / (1 << 20)
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "memory",
            "view and places",
            at("view-memory", everyone),
            "MiB",
            most,
        )
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "time",
            "one lost: all views true",
            at("view-one-settling", everyone),
            "s",
        )

    def _tools(self) -> Iterator[Row]:
        series, everyone = self.measured, self._all
        yield Row(
            ORDINARY_DAY,
            OPERATOR_TOOLS,
            "",
            "messages",
            "an answer to VIEW",
            series.cost_at("view-asked-size", everyone),
            "KiB",
        )
        spent = series.cost_at("view-asked-processor", everyone)
        yield Row(ORDINARY_DAY, OPERATOR_TOOLS, "", "processor", "a sidecar's, for one VIEW", spent, "ms")
        restarts = self.numbers.day.restarted + self.numbers.day.failed
        lines = series.growth_over("view-restart-lines", float(restarts))
        yield Row(
            ORDINARY_DAY, OPERATOR_TOOLS, "", "state", "log lines of members, a sidecar", lines, "a day"
        )
        yield Row(
            ORDINARY_DAY,
            OPERATOR_TOOLS,
            "",
            "state",
            "the same, all sidecars",
            lines.times(everyone / 1e6, f"{format_number(everyone)} / 1,000,000"),
            "million a day",
        )

    # Losses

    def _lost(self, day: str, lost: int, name: str) -> Iterator[Row]:
        series, budgets, everyone = self.measured, self.numbers.budgets, self._all
        for way in (ONE_DISCOVERY, TIERS):
            told_of = lost if way == ONE_DISCOVERY else lost * self._part / everyone
            text = f"{lost}" if way == ONE_DISCOVERY else f"{lost} x {self._part} / {format_number(everyone)}"
            change = series.cost_at(
                series.preferred_name("sidecar-change-cpu-by-endpoints"), self._listed[way]
            )
            spent = change.times(told_of / 1e3, f"{text} / 1,000")
            yield Row(
                day, SIDECAR_CONTROL, way, "processor", "told line by line", spent, "s", budgets.in_force_s
            )
            if name == "zone":
                at_once = series.cost_at(
                    series.preferred_name("sidecar-burst-cpu-by-endpoints"), self._listed[way]
                )
                yield Row(
                    day,
                    SIDECAR_CONTROL,
                    way,
                    "processor",
                    "364 told at once",
                    at_once.times(1e-3, "1 / 1,000"),
                    "s",
                    budgets.in_force_s,
                )
        spent = series.cost_at("discovery-cpu-by-watchers", everyone).times(lost / 1e3, f"{lost} / 1,000")
        yield Row(
            day,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "processor",
            "told line by line",
            spent,
            "s",
            budgets.in_force_s,
        )
        sent = series.cost_at("discovery-bytes-by-watchers", everyone).times(
            lost / 1e6, f"{lost} / 1,000,000"
        )
        yield Row(day, DISCOVERY_SIDE, ONE_DISCOVERY, "messages", "sent, told line by line", sent, "MB")
        spent = series.cost_at("tier-cpu-by-watchers", self._zone).times(lost / 1e3, f"{lost} / 1,000")
        yield Row(
            day,
            DISCOVERY_SIDE,
            TIERS,
            "processor",
            "zone tier, told line by line",
            spent,
            "s",
            budgets.in_force_s,
        )
        yield Row(
            day,
            VIEW_MEMBERS,
            "",
            "time",
            "all views true",
            series.cost_at(f"view-{name}-settling", everyone),
            "s",
        )
        sent = series.cost_at(f"view-{name}-bytes", everyone)
        yield Row(day, VIEW_MEMBERS, "", "messages", "sent until then", sent, "B/s", budgets.bytes_per_s)
        yield Row(
            day,
            VIEW_MEMBERS,
            "",
            "processor",
            "added in the minute after",
            series.cost_at("view-lost-processor", lost),
            "ms",
        )

    def _region(self) -> Iterator[Row]:
        lost, fleet, series = self.numbers.lost, self.numbers.fleet, self.measured
        changes = self._rate * lost.apart_s
        missed = changes * (fleet.regions - 1) / fleet.regions
        text = (
            f"{format_number(self.numbers.day.changes)} x {format_number(lost.apart_s)}"
            f" / {format_number(SECONDS_PER_DAY)}"
        )
        outside = f"{text} x {fleet.regions - 1} / {fleet.regions}"
        yield Row(
            REGION_APART,
            DISCOVERY_SIDE,
            "",
            "messages",
            "changes that the region missed",
            exact_figure(missed, outside),
            "changes",
        )
        within = exact_figure(changes / fleet.regions, f"{text} / {fleet.regions}")
        yield Row(
            REGION_APART,
            DISCOVERY_SIDE,
            "",
            "messages",
            "changes within it, missed by the others",
            within,
            "changes",
        )
        line = series.growth_over("sidecar-list-bytes-by-endpoints", 1.0)
        sent = line.times(missed * lost.region / 1e6, f"{format_number(missed)} x {lost.region} / 1,000,000")
        yield Row(
            REGION_APART, DISCOVERY_SIDE, ONE_DISCOVERY, "messages", "told to its sidecars after", sent, "MB"
        )
        sent = line.times((missed + changes / fleet.regions) / 1e6, f"{format_number(changes)} / 1,000,000")
        yield Row(
            REGION_APART,
            DISCOVERY_SIDE,
            TIERS,
            "messages",
            "between region tier and origin after",
            sent,
            "MB",
        )
        yield Row(
            REGION_APART,
            VIEW_MEMBERS,
            "",
            "time",
            "healed: all views true",
            series.cost_at("view-apart-settling", self._all),
            "s",
        )
        told_of = series.cost_at("view-apart-bytes", self._all).times(1e-3, "1 / 1,000")
        yield Row(REGION_APART, VIEW_MEMBERS, "", "messages", "sent by a member until then", told_of, "KB")

    def _power(self) -> Iterator[Row]:
        series, everyone = self.measured, self._all
        for way in (ONE_DISCOVERY, TIERS):
            listed = self._listed[way]
            start = series.cost_at(series.preferred_name("sidecar-start-by-endpoints"), listed).times(
                1e-3, "1 / 1,000"
            )
            yield Row(POWER_LOSS, SIDECAR_CONTROL, way, "time", "one alone, start to serving", start, "s")
            whole = series.cost_at(series.preferred_name("sidecar-list-bytes-by-endpoints"), listed)
            yield Row(
                POWER_LOSS,
                SIDECAR_CONTROL,
                way,
                "messages",
                "its whole list",
                whole.times(1e-3, "1 / 1,000"),
                "KB",
            )
            receivers, who = (everyone, "discovery") if way == ONE_DISCOVERY else (self._zone, "a zone tier")
            sent = whole.times(receivers / 1e6, f"{format_number(receivers)} / 1,000,000")
            yield Row(POWER_LOSS, DISCOVERY_SIDE, way, "messages", f"whole lists from {who}", sent, "MB")
        spent = series.cost_at("discovery-whole-cpu-by-watchers", everyone).times(1e-3, "1 / 1,000")
        yield Row(
            POWER_LOSS,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "processor",
            "whole lists, were they of 28 lines",
            spent,
            "s",
        )
        yield Row(
            POWER_LOSS,
            VIEW_MEMBERS,
            "",
            "time",
            "all views true",
            series.cost_at("view-join-settling", everyone),
            "s",
        )
        sent = series.cost_at("view-join-bytes", everyone)
        yield Row(
            POWER_LOSS,
            VIEW_MEMBERS,
            "",
            "messages",
            "in the two minutes after",
            sent,
            "B/s",
            self.numbers.budgets.bytes_per_s,
        )

    def _machine(self) -> Iterator[Row]:
        """A zone tier's machine is lost: its sidecars go to a neighbour and take their parts from it."""
        series, budgets, zone = self.measured, self.numbers.budgets, self._zone
        text = f"{format_number(self.numbers.day.changes)} / {format_number(SECONDS_PER_DAY)}"
        both = exact_figure(2 * zone, f"2 x {format_number(self._all)} / {self.numbers.fleet.zones}")
        yield Row(TIER_MACHINE_LOST, DISCOVERY_SIDE, TIERS, "state", "zone tier: receivers", both, "watches")
        spent = series.cost_at("tier-cpu-by-watchers", 2 * zone).times(self._rate / 10.0, f"{text} / 10")
        yield Row(
            TIER_MACHINE_LOST, DISCOVERY_SIDE, TIERS, "processor", "zone tier", spent, "% of a core", 100.0
        )
        whole = series.cost_at(series.preferred_name("sidecar-list-bytes-by-endpoints"), self._listed[TIERS])
        sent = whole.times(zone / 1e6, f"{format_number(zone)} / 1,000,000")
        yield Row(
            TIER_MACHINE_LOST, DISCOVERY_SIDE, TIERS, "messages", "parts told to those who came", sent, "MB"
        )
        moved = series.cost_at("tier-failover-by-watchers", zone).times(1e-3, "1 / 1,000")
        yield Row(
            TIER_MACHINE_LOST,
            DISCOVERY_SIDE,
            TIERS,
            "time",
            "until all are told again",
            moved,
            "s",
            2 * budgets.in_force_s,
        )


# Tables


def markdown(plan: CapacityPlan) -> str:
    """The tables of the page."""
    lines = ["### Budgets, the shortest first", "", *_budgets(plan), ""]
    lines += ["### The time added to a call, by stage", "", *_stages(plan), ""]
    for day in dict.fromkeys(row.scenario for row in plan.rows):
        lines += [f"### {day[0].upper()}{day[1:]}", ""]
        lines.append("| role | way | | what | arithmetic | figure | 95% interval | budget | verdict |")
        lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        lines += [_line(row) for row in plan.rows if row.scenario == day] + [""]
    lines += ["### Machines for control", "", *_machines(plan.numbers), ""]
    lines += ["### The slopes behind it", ""]
    lines.append("| series | by | slope | 95% interval | at none | residual | measured at | how | run |")
    lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name, one in sorted(plan.measured.used.items()):
        slope = (
            format_number(one.slope) if one.linear else f"{format_number(one.slope)}, no line ({one.shape})"
        )
        sizes = f"{format_number(one.points[0][0])} to {format_number(one.points[-1][0])}"
        interval = f"{format_number(one.low)} to {format_number(one.high)}"
        lines.append(
            f"| {name} ({one.unit}) | {one.by} | {slope} | {interval} | {format_number(one.intercept)} "
            f"| {format_number(one.residual)} | {sizes} | {one.how} | {one.run} |"
        )
    missing = sorted(plan.measured.missing)
    if missing:
        lines += ["", f"Not measured, so not known: {', '.join(missing)}."]
    return "\n".join(lines) + "\n"


def _budgets(plan: CapacityPlan) -> list[str]:
    """Every figure that has a budget, by how many times that it is."""
    rows = [row for row in plan.rows if row.budget is not None and row.figure.value is not None]
    rows.sort(key=lambda row: -(row.figure.value or 0.0) / (row.budget or 1.0))
    lines = ["| times its budget | day | role | way | what | figure | budget | verdict |", "|" + " --- |" * 8]
    for row in rows:
        figure, budget = row.figure.value or 0.0, row.budget or 1.0
        lines.append(
            f"| {format_number(figure / budget)} | {row.scenario} | {row.role} | {row.distribution} "
            f"| {row.resource}: {row.description} "
            f"| {format_number(figure)} {row.unit} | {format_number(budget)} {row.unit} | {row.verdict} |"
        )
    return lines


def _stages(plan: CapacityPlan) -> list[str]:
    fleet = plan.numbers.fleet
    calls = fleet.calls_per_s / fleet.endpoints
    lines = [
        f"| stage, at {format_number(calls)} calls a second "
        "| median, ms | 95% interval | processor time, ms |"
    ]
    lines.append("| --- | --- | --- | --- |")
    whole, own = exact_figure(0.0, ""), exact_figure(0.0, "")
    for stage, words in STAGE_DESCRIPTIONS.items():
        name = f"path-stage-{stage.replace(' ', '-')}"
        took, spent = plan.measured.cost_at(name, calls), plan.measured.cost_at(f"{name}-cpu", calls)
        whole, own = whole.plus(took), own.plus(spent)
        lines.append(f"| {words} | {_value(took)} | {_interval(took)} | {_value(spent)} |")
    lines.append(f"| sum of the medians | {_value(whole)} | | {_value(own)} |")
    for name, words in (
        ("path-there-median", "client to endpoint, unstamped"),
        ("path-back-median", "endpoint to client, unstamped"),
        ("path-direct-median", "both ways without a sidecar, the same run"),
        ("path-direct-p99", "the same, 99 in 100"),
        ("path-quiet-median", "added, sidecar undisturbed by other processes, stamped"),
        ("path-quiet-p99", "the same, 99 in 100"),
    ):
        took = plan.measured.cost_at(name, calls)
        lines.append(f"| {words} | {_value(took)} | {_interval(took)} | |")
    return lines


def _value(figure: Figure) -> str:
    return "not known" if figure.value is None else format_number(figure.value) + _marks(figure)


def _marks(figure: Figure) -> str:
    """What the page explains: beyond the sizes that were measured; read off the points of a curve."""
    return " †" * figure.is_extrapolated + " ‡" * figure.is_interpolated


def _interval(figure: Figure) -> str:
    if figure.value is None or figure.low == figure.high:
        return ""
    return f"{format_number(figure.low)} to {format_number(figure.high)}"


def _line(row: Row) -> str:
    figure = row.figure
    value, interval = _value(figure), _interval(figure)
    if figure.value is not None:
        value = f"{format_number(figure.value)} {row.unit}{_marks(figure)}"
    budget = "" if row.budget is None else f"{format_number(row.budget)} {row.unit}"
    return (
        f"| {row.role} | {row.distribution} | {row.resource} | {row.description} "
        f"| {figure.formula} | {value} | {interval} "
        f"| {budget} | {row.verdict} |"
    )


def _machines(numbers: OperatorNumbers) -> list[str]:
    fleet = numbers.fleet
    every, zones, regions, machines = (
        format_number(fleet.endpoints),
        fleet.zones,
        fleet.regions,
        fleet.machines,
    )
    zone, region = fleet.endpoints / zones, zones / regions
    rest = machines - zones - regions - ORIGIN_MACHINES
    lines = [
        ("runs", "machines", "one of them lost"),
        ("---", "---", "---"),
        (
            "zone tier",
            f"{zones}",
            f"its {every} / {zones} = {format_number(zone)} sidecars go to a neighbour: "
            f"2 x {format_number(zone)} there",
        ),
        (
            "region tier",
            f"{regions}",
            f"its {zones} / {regions} = {format_number(region)} zone tiers go to another: "
            f"2 x {format_number(region)} there",
        ),
        (
            "origin, and its stand-by",
            f"{ORIGIN_MACHINES}",
            "the other is asked; regions serve on by what they hold",
        ),
        ("spare", f"{rest}", f"{machines} - {zones} - {regions} - {ORIGIN_MACHINES} = {rest} left"),
    ]
    return ["| " + " | ".join(line) + " |" for line in lines]


@click.command()
@click.option("--numbers", type=click.Path(path_type=Path), default=NUMBERS_FILE, show_default=True)
@click.option(
    "--slopes", "folder", type=click.Path(path_type=Path), default=slopes.SLOPES_FOLDER, show_default=True
)
@click.option("--markdown", "as_page", is_flag=True, help="The tables as they stand in docs/CAPACITY.md.")
def plan(numbers: Path, folder: Path, as_page: bool) -> None:
    """State, messages, processor time and memory of each role at the size that NUMBERS tells. Exit code 2:
    bad input."""
    try:
        text = markdown(CapacityPlan(load_numbers(numbers), slopes.read_slopes(folder)))
    except (PlanError, slopes.SlopesError) as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from None
    click.echo(text, nl=False)
