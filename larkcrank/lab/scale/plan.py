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
from larkcrank.lab.scale.path import STAGE_WORDS
from larkcrank.lab.scale.slopes import Slope
from larkcrank.lab.scale.view import RESTART_FLEET_SIZE

NUMBERS = Path("examples/scale/operators.toml")
DAY_S = 86_400.0
WATCH_S = 60.0  # a watch without news is answered and asked anew after so long
PER_SERVICE = "endpoints a service"
KINDS = ("state", "messages", "processor", "memory", "time")


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


class Numbers(_Strict, frozen=True):
    """The operators' numbers, as examples/scale/operators.toml explains them."""

    fleet: Fleet
    day: Day
    lost: Lost
    budgets: Budgets


def load(path: Path) -> Numbers:
    """Read the operators' numbers. Raises `PlanError`."""
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=Numbers)
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


def shown(value: float) -> str:
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
    is_beyond: bool = False  # beyond the sizes that were measured
    is_read_off: bool = False  # of a cost that is no line

    def times(self, factor: float, text: str = "") -> "Figure":
        text = text or shown(factor)
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
            self.is_beyond or other.is_beyond,
            self.is_read_off or other.is_read_off,
        )


def told(value: float, formula: str) -> Figure:
    """From the operators' numbers alone."""
    return Figure(value, value, value, formula)


@dataclass(slots=True)
class Series:
    """What was measured, by name."""

    slopes: Mapping[str, Slope]
    used: dict[str, Slope] = field(default_factory=dict)
    missing: set[str] = field(default_factory=set)

    def at(self, name: str, size: float) -> Figure:
        """The cost at a size, and the 95% interval of its mean."""
        found = self.slopes.get(name)
        if found is None:
            self.missing.add(name)
            return Figure(None, formula=f"[{name}] at {shown(size)}")
        self.used[name] = found
        logarithm = found.by.startswith("log10")
        x = math.log10(size) if logarithm else size
        largest = max(point for point, _ in found.points)
        by = f"log10 {shown(size)}" if logarithm else shown(x)
        if not found.linear:
            return self._read_off(found, name, x, by)
        mean = found.intercept + found.slope * x
        half = half_width(found, x)
        sign = "-" if found.slope < 0.0 else "+"
        formula = f"{shown(found.intercept)} {sign} {shown(abs(found.slope))} x {by}"
        return Figure(mean, mean - half, mean + half, formula, (name,), is_beyond=x > largest)

    def growth(self, name: str, size: float) -> Figure:
        """What a size adds to nothing: the slope alone."""
        found = self.slopes.get(name)
        if found is None:
            self.missing.add(name)
            return Figure(None, formula=f"[{name}] for {shown(size)}")
        largest = max(point for point, _ in found.points)
        self.used[name] = found
        if not found.linear:
            at, least = self._read_off(found, name, size, shown(size)), _mean(min(found.points)[1])
            if at.value is None:
                return at
            return replace(
                at,
                value=at.value - least,
                low=at.low - least,
                high=at.high - least,
                formula=f"{at.formula} - {shown(least)}",
            )
        low, high = sorted((found.low * size, found.high * size))
        formula = f"{shown(found.slope)} x {shown(size)}"
        return Figure(found.slope * size, low, high, formula, (name,), is_beyond=size > largest)

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
            return Figure(more, min(upper), max(upper), shown(more), (name,), is_read_off=True)
        value = mean + (more - mean) * part
        every = lower + upper
        formula = f"{shown(mean)} + ({shown(more)} - {shown(mean)}) x {shown(part)}"
        return Figure(value, min(every), max(every), formula, (name,), is_read_off=True)

    def best(self, name: str) -> str:
        """Real processes' series where there is one, else that of hollow sidecars."""
        return f"{name}-real" if f"{name}-real" in self.slopes else name


def half_width(slope: Slope, x: float) -> float:
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
    day: str
    role: str
    way: str  # how changes come: one discovery, or tiers; empty: it makes no difference
    kind: str  # one of KINDS
    what: str
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
            return f"**short by {shown(figure.value - budget)} {self.unit}**"
        return "not known: the interval holds the budget"


ORIGINS = 2  # one that is asked, and one that stands by
ONE, TIERS = "one discovery", "tiers"
ORDINARY, RACK, ZONE = "ordinary", "rack or switch lost", "zone lost"
REGION, POWER = "region apart", "all at once after a power loss"
MACHINE = "a zone tier's machine lost"
PATH, CONTROL, BETWEEN = "sidecar, data path", "sidecar, control", "discovery or what stands between"
VIEW, TOOLS = "members of the view", "operators' tools"


class Plan:
    """The rows, day by day and role by role."""

    def __init__(self, numbers: Numbers, found: Mapping[str, Slope]) -> None:
        self.numbers = numbers
        self.series = Series(found)
        fleet, day = numbers.fleet, numbers.day
        self._all = float(fleet.endpoints)
        self._each = fleet.endpoints / fleet.services
        self._part = round(fleet.called * self._each)
        self._rate = day.changes / DAY_S
        self._listed = {ONE: self._all, TIERS: float(self._part)}
        self._zone = fleet.endpoints / fleet.zones
        self._restarts = (day.restarted + day.failed) / DAY_S
        self.rows = list(self._rows())

    def _rows(self) -> Iterator[Row]:
        yield from self._ordinary_path()
        for way in (ONE, TIERS):
            yield from self._ordinary_control(way)
        yield from self._ordinary_between()
        yield from self._ordinary_view()
        yield from self._tools()
        yield from self._lost(RACK, self.numbers.lost.rack, "rack")
        yield from self._lost(ZONE, self.numbers.lost.zone, "zone")
        yield from self._region()
        yield from self._power()
        yield from self._machine()

    # An ordinary day

    def _ordinary_path(self) -> Iterator[Row]:
        fleet, budget = self.numbers.fleet, self.numbers.budgets.added_ms
        calls = fleet.calls_per_s / fleet.endpoints
        at = self.series.at
        formula = f"{shown(fleet.calls_per_s)} / {shown(self._all)}"
        yield Row(ORDINARY, PATH, "", "messages", "calls", told(calls, formula), "a second")
        processor = at("path-processor", calls)
        yield Row(ORDINARY, PATH, "", "processor", "at this rate", processor, "% of a core")
        yield Row(ORDINARY, PATH, "", "time", "added, median", at("path-added-median", calls), "ms")
        for name, words in (("", "as measured"), ("alone-", "with a processor to itself")):
            tail = at("path-added-p99" if not name else "path-alone-p99", calls)
            yield Row(ORDINARY, PATH, "", "time", f"added, 99 in 100, {words}", tail, "ms", budget)
            deep = at(f"path-{name}row-p99", fleet.depth)
            what = f"{fleet.depth} in a row, 99 in 100, {words}"
            yield Row(ORDINARY, PATH, "", "time", what, deep, "ms", budget)

    def _ordinary_control(self, way: str) -> Iterator[Row]:
        budgets, listed, series = self.numbers.budgets, self._listed[way], self.series
        rate, text = self._heard(way)
        yield Row(ORDINARY, CONTROL, way, "state", "endpoints listed", self._lines(way), "lines")
        lists = series.at(series.best("sidecar-change-bytes-by-endpoints"), listed).times(rate, text)
        yield Row(ORDINARY, CONTROL, way, "messages", "lists", lists, "B/s", budgets.bytes_per_s)
        both = lists.plus(self._view_bytes())
        yield Row(ORDINARY, CONTROL, way, "messages", "lists and view", both, "B/s", budgets.bytes_per_s)
        idle = series.at(series.best("sidecar-idle-by-endpoints"), listed)
        change = series.at(series.best("sidecar-change-cpu-by-endpoints"), listed)
        spent = idle.plus(change.times(rate / 10.0, f"{text} / 10"))
        yield Row(
            ORDINARY,
            CONTROL,
            way,
            "processor",
            "idle, and changes",
            spent,
            "% of a core",
            budgets.core_percent,
        )
        burst = idle.plus(
            change.times(
                rate * self.numbers.day.burst / 10.0, f"{text} x {shown(self.numbers.day.burst)} / 10"
            )
        )
        yield Row(
            ORDINARY,
            CONTROL,
            way,
            "processor",
            "the same in a burst",
            burst,
            "% of a core",
            budgets.core_percent,
        )
        viewed = spent.plus(series.at("view-processor", self._all))
        yield Row(
            ORDINARY, CONTROL, way, "processor", "and the view", viewed, "% of a core", budgets.core_percent
        )
        memory = series.growth(series.best("sidecar-memory-by-endpoints"), listed)
        most = budgets.memory_mb * 1e6 / (1 << 20)
        yield Row(ORDINARY, CONTROL, way, "memory", "what the list adds", memory, "MiB", most)
        viewed = memory.plus(series.at("view-memory", self._all))
        yield Row(ORDINARY, CONTROL, way, "memory", "and the view", viewed, "MiB", most)
        whole = series.at(series.best("sidecar-memory-by-endpoints"), listed)
        yield Row(ORDINARY, CONTROL, way, "memory", "the whole process, its data path too", whole, "MiB")

    def _heard(self, way: str) -> tuple[float, str]:
        """Changes a second that a sidecar is told, and the arithmetic."""
        text = f"{shown(self.numbers.day.changes)} / {shown(DAY_S)}"
        if way == ONE:
            return self._rate, text
        return self._rate * self._part / self._all, f"{text} x {self._part} / {shown(self._all)}"

    def _lines(self, way: str) -> Figure:
        if way == ONE:
            return told(self._all, shown(self._all))
        return told(
            self._part, f"{self.numbers.fleet.called} x {shown(self._all)} / {self.numbers.fleet.services}"
        )

    def _view_bytes(self) -> Figure:
        """A member tells a piece of news as often as the logarithm of the members says (membership.py)."""
        day = self.numbers.day
        text = f"({shown(day.restarted)} + {day.failed}) / {shown(DAY_S)}"
        more = self.series.growth("view-restart-bytes", self._restarts)
        if more.value is not None:
            more = replace(more, formula=f"{shown(self.series.slopes['view-restart-bytes'].slope)} x {text}")
        tellings = math.log2(self._all) / math.log2(RESTART_FLEET_SIZE)
        more = more.times(tellings, f"log2 {shown(self._all)} / log2 {RESTART_FLEET_SIZE}")
        return self.series.at("view-calm-bytes", self._all).plus(more)

    def _ordinary_between(self) -> Iterator[Row]:
        budgets, series = self.numbers.budgets, self.series
        text = f"{shown(self.numbers.day.changes)} / {shown(DAY_S)}"
        watchers = self._all
        calls = watchers * (self._rate + 1.0 / WATCH_S)
        formula = f"{shown(watchers)} x ({text} + 1 / {shown(WATCH_S)})"
        yield Row(ORDINARY, BETWEEN, ONE, "state", "open watches", told(watchers, shown(watchers)), "watches")
        yield Row(ORDINARY, BETWEEN, ONE, "messages", "calls", told(calls, formula), "a second")
        sent = series.at("discovery-bytes-by-watchers", watchers).times(
            self._rate / 1e6, f"{text} / 1,000,000"
        )
        yield Row(ORDINARY, BETWEEN, ONE, "messages", "sent", sent, "MB/s")
        spent = series.at("discovery-cpu-by-watchers", watchers).times(self._rate / 10.0, f"{text} / 10")
        yield Row(ORDINARY, BETWEEN, ONE, "processor", "one process, one core", spent, "% of a core", 100.0)
        burst = spent.times(self.numbers.day.burst)
        yield Row(ORDINARY, BETWEEN, ONE, "processor", "the same in a burst", burst, "% of a core", 100.0)
        memory = series.at("discovery-memory-by-watchers", watchers)
        yield Row(ORDINARY, BETWEEN, ONE, "memory", "one process", memory, "MiB")
        written = series.at("discovery-write-by-watchers", watchers).times(1e-3, "1 / 1,000")
        yield Row(
            ORDINARY, BETWEEN, ONE, "time", "a lone change, written to all", written, "s", budgets.in_force_s
        )
        last = series.at("path-last-by-watchers", watchers).times(1e-3, "1 / 1,000")
        yield Row(
            ORDINARY,
            BETWEEN,
            ONE,
            "time",
            "a lone change in force, the last of all, on one machine",
            last,
            "s",
            budgets.in_force_s,
        )
        for tier, count, over in self._tiers():
            formula = f"{shown(count)} / {shown(over)}"
            receivers = count / over
            yield Row(
                ORDINARY, BETWEEN, TIERS, "state", f"{tier}: receivers", told(receivers, formula), "watches"
            )
            spent = series.at("tier-cpu-by-watchers", receivers).times(self._rate / 10.0, f"{text} / 10")
            yield Row(ORDINARY, BETWEEN, TIERS, "processor", f"{tier}", spent, "% of a core", 100.0)
            sent = series.at("tier-bytes-by-watchers", receivers).times(self._rate, text)
            yield Row(ORDINARY, BETWEEN, TIERS, "messages", f"{tier}: sent", sent, "B/s")
            memory = series.at("tier-memory-by-watchers", receivers)
            yield Row(ORDINARY, BETWEEN, TIERS, "memory", f"{tier}", memory, "MiB")
        last = series.at("tier-last-by-sidecars", self._all).times(1e-3, "1 / 1,000")
        yield Row(
            ORDINARY, BETWEEN, TIERS, "time", "a lone change, the last of all", last, "s", budgets.in_force_s
        )

    def _tiers(self) -> Iterable[tuple[str, float, float]]:
        fleet = self.numbers.fleet
        return (
            ("origin", float(fleet.regions), 1.0),
            ("region tier", float(fleet.zones), float(fleet.regions)),
            ("zone tier", self._all, float(fleet.zones)),
        )

    def _ordinary_view(self) -> Iterator[Row]:
        at, everyone, budgets = self.series.at, self._all, self.numbers.budgets
        yield Row(ORDINARY, VIEW, "", "state", "members known", told(everyone, shown(everyone)), "records")
        yield Row(
            ORDINARY, VIEW, "", "messages", "datagrams sent", at("view-calm-datagrams", everyone), "a second"
        )
        yield Row(
            ORDINARY,
            VIEW,
            "",
            "messages",
            "sent, with restarts told",
            self._view_bytes(),
            "B/s",
            budgets.bytes_per_s,
        )
        yield Row(
            ORDINARY,
            VIEW,
            "",
            "processor",
            "besides socket and loop",
            at("view-processor", everyone),
            "% of a core",
            budgets.core_percent,
        )
        most = budgets.memory_mb * 1e6 / (1 << 20)
        yield Row(ORDINARY, VIEW, "", "memory", "view and places", at("view-memory", everyone), "MiB", most)
        yield Row(
            ORDINARY, VIEW, "", "time", "one lost: all views true", at("view-one-settling", everyone), "s"
        )

    def _tools(self) -> Iterator[Row]:
        series, everyone = self.series, self._all
        yield Row(
            ORDINARY,
            TOOLS,
            "",
            "messages",
            "an answer to VIEW",
            series.at("view-asked-size", everyone),
            "KiB",
        )
        spent = series.at("view-asked-processor", everyone)
        yield Row(ORDINARY, TOOLS, "", "processor", "a sidecar's, for one VIEW", spent, "ms")
        restarts = self.numbers.day.restarted + self.numbers.day.failed
        lines = series.growth("view-restart-lines", float(restarts))
        yield Row(ORDINARY, TOOLS, "", "state", "log lines of members, a sidecar", lines, "a day")
        yield Row(
            ORDINARY,
            TOOLS,
            "",
            "state",
            "the same, all sidecars",
            lines.times(everyone / 1e6, f"{shown(everyone)} / 1,000,000"),
            "million a day",
        )

    # Losses

    def _lost(self, day: str, lost: int, name: str) -> Iterator[Row]:
        series, budgets, everyone = self.series, self.numbers.budgets, self._all
        for way in (ONE, TIERS):
            told_of = lost if way == ONE else lost * self._part / everyone
            text = f"{lost}" if way == ONE else f"{lost} x {self._part} / {shown(everyone)}"
            change = series.at(series.best("sidecar-change-cpu-by-endpoints"), self._listed[way])
            spent = change.times(told_of / 1e3, f"{text} / 1,000")
            yield Row(day, CONTROL, way, "processor", "told line by line", spent, "s", budgets.in_force_s)
            if name == "zone":
                at_once = series.at(series.best("sidecar-burst-cpu-by-endpoints"), self._listed[way])
                yield Row(
                    day,
                    CONTROL,
                    way,
                    "processor",
                    "364 told at once",
                    at_once.times(1e-3, "1 / 1,000"),
                    "s",
                    budgets.in_force_s,
                )
        spent = series.at("discovery-cpu-by-watchers", everyone).times(lost / 1e3, f"{lost} / 1,000")
        yield Row(day, BETWEEN, ONE, "processor", "told line by line", spent, "s", budgets.in_force_s)
        sent = series.at("discovery-bytes-by-watchers", everyone).times(lost / 1e6, f"{lost} / 1,000,000")
        yield Row(day, BETWEEN, ONE, "messages", "sent, told line by line", sent, "MB")
        spent = series.at("tier-cpu-by-watchers", self._zone).times(lost / 1e3, f"{lost} / 1,000")
        yield Row(
            day, BETWEEN, TIERS, "processor", "zone tier, told line by line", spent, "s", budgets.in_force_s
        )
        yield Row(day, VIEW, "", "time", "all views true", series.at(f"view-{name}-settling", everyone), "s")
        sent = series.at(f"view-{name}-bytes", everyone)
        yield Row(day, VIEW, "", "messages", "sent until then", sent, "B/s", budgets.bytes_per_s)
        yield Row(
            day,
            VIEW,
            "",
            "processor",
            "added in the minute after",
            series.at("view-lost-processor", lost),
            "ms",
        )

    def _region(self) -> Iterator[Row]:
        lost, fleet, series = self.numbers.lost, self.numbers.fleet, self.series
        changes = self._rate * lost.apart_s
        missed = changes * (fleet.regions - 1) / fleet.regions
        text = f"{shown(self.numbers.day.changes)} x {shown(lost.apart_s)} / {shown(DAY_S)}"
        outside = f"{text} x {fleet.regions - 1} / {fleet.regions}"
        yield Row(
            REGION,
            BETWEEN,
            "",
            "messages",
            "changes that the region missed",
            told(missed, outside),
            "changes",
        )
        within = told(changes / fleet.regions, f"{text} / {fleet.regions}")
        yield Row(
            REGION, BETWEEN, "", "messages", "changes within it, missed by the others", within, "changes"
        )
        line = series.growth("sidecar-list-bytes-by-endpoints", 1.0)
        sent = line.times(missed * lost.region / 1e6, f"{shown(missed)} x {lost.region} / 1,000,000")
        yield Row(REGION, BETWEEN, ONE, "messages", "told to its sidecars after", sent, "MB")
        sent = line.times((missed + changes / fleet.regions) / 1e6, f"{shown(changes)} / 1,000,000")
        yield Row(REGION, BETWEEN, TIERS, "messages", "between region tier and origin after", sent, "MB")
        yield Row(
            REGION,
            VIEW,
            "",
            "time",
            "healed: all views true",
            series.at("view-apart-settling", self._all),
            "s",
        )
        told_of = series.at("view-apart-bytes", self._all).times(1e-3, "1 / 1,000")
        yield Row(REGION, VIEW, "", "messages", "sent by a member until then", told_of, "KB")

    def _power(self) -> Iterator[Row]:
        series, everyone = self.series, self._all
        for way in (ONE, TIERS):
            listed = self._listed[way]
            start = series.at(series.best("sidecar-start-by-endpoints"), listed).times(1e-3, "1 / 1,000")
            yield Row(POWER, CONTROL, way, "time", "one alone, start to serving", start, "s")
            whole = series.at(series.best("sidecar-list-bytes-by-endpoints"), listed)
            yield Row(POWER, CONTROL, way, "messages", "its whole list", whole.times(1e-3, "1 / 1,000"), "KB")
            receivers, who = (everyone, "discovery") if way == ONE else (self._zone, "a zone tier")
            sent = whole.times(receivers / 1e6, f"{shown(receivers)} / 1,000,000")
            yield Row(POWER, BETWEEN, way, "messages", f"whole lists from {who}", sent, "MB")
        spent = series.at("discovery-whole-cpu-by-watchers", everyone).times(1e-3, "1 / 1,000")
        yield Row(POWER, BETWEEN, ONE, "processor", "whole lists, were they of 28 lines", spent, "s")
        yield Row(POWER, VIEW, "", "time", "all views true", series.at("view-join-settling", everyone), "s")
        sent = series.at("view-join-bytes", everyone)
        yield Row(
            POWER,
            VIEW,
            "",
            "messages",
            "in the two minutes after",
            sent,
            "B/s",
            self.numbers.budgets.bytes_per_s,
        )

    def _machine(self) -> Iterator[Row]:
        """A zone tier's machine is lost: its sidecars go to a neighbour and take their parts from it."""
        series, budgets, zone = self.series, self.numbers.budgets, self._zone
        text = f"{shown(self.numbers.day.changes)} / {shown(DAY_S)}"
        both = told(2 * zone, f"2 x {shown(self._all)} / {self.numbers.fleet.zones}")
        yield Row(MACHINE, BETWEEN, TIERS, "state", "zone tier: receivers", both, "watches")
        spent = series.at("tier-cpu-by-watchers", 2 * zone).times(self._rate / 10.0, f"{text} / 10")
        yield Row(MACHINE, BETWEEN, TIERS, "processor", "zone tier", spent, "% of a core", 100.0)
        whole = series.at(series.best("sidecar-list-bytes-by-endpoints"), self._listed[TIERS])
        sent = whole.times(zone / 1e6, f"{shown(zone)} / 1,000,000")
        yield Row(MACHINE, BETWEEN, TIERS, "messages", "parts told to those who came", sent, "MB")
        moved = series.at("tier-failover-by-watchers", zone).times(1e-3, "1 / 1,000")
        yield Row(
            MACHINE, BETWEEN, TIERS, "time", "until all are told again", moved, "s", 2 * budgets.in_force_s
        )


# Tables


def markdown(plan: Plan) -> str:
    """The tables of the page."""
    lines = ["### Budgets, the shortest first", "", *_budgets(plan), ""]
    lines += ["### The time added to a call, by stage", "", *_stages(plan), ""]
    for day in dict.fromkeys(row.day for row in plan.rows):
        lines += [f"### {day[0].upper()}{day[1:]}", ""]
        lines.append("| role | way | | what | arithmetic | figure | 95% interval | budget | verdict |")
        lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        lines += [_line(row) for row in plan.rows if row.day == day] + [""]
    lines += ["### Machines for control", "", *_machines(plan.numbers), ""]
    lines += ["### The slopes behind it", ""]
    lines.append("| series | by | slope | 95% interval | at none | residual | measured at | how | run |")
    lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name, one in sorted(plan.series.used.items()):
        slope = shown(one.slope) if one.linear else f"{shown(one.slope)}, no line ({one.shape})"
        sizes = f"{shown(one.points[0][0])} to {shown(one.points[-1][0])}"
        interval = f"{shown(one.low)} to {shown(one.high)}"
        lines.append(
            f"| {name} ({one.unit}) | {one.by} | {slope} | {interval} | {shown(one.intercept)} "
            f"| {shown(one.residual)} | {sizes} | {one.how} | {one.run} |"
        )
    missing = sorted(plan.series.missing)
    if missing:
        lines += ["", f"Not measured, so not known: {', '.join(missing)}."]
    return "\n".join(lines) + "\n"


def _budgets(plan: Plan) -> list[str]:
    """Every figure that has a budget, by how many times that it is."""
    rows = [row for row in plan.rows if row.budget is not None and row.figure.value is not None]
    rows.sort(key=lambda row: -(row.figure.value or 0.0) / (row.budget or 1.0))
    lines = ["| times its budget | day | role | way | what | figure | budget | verdict |", "|" + " --- |" * 8]
    for row in rows:
        figure, budget = row.figure.value or 0.0, row.budget or 1.0
        lines.append(
            f"| {shown(figure / budget)} | {row.day} | {row.role} | {row.way} | {row.kind}: {row.what} "
            f"| {shown(figure)} {row.unit} | {shown(budget)} {row.unit} | {row.verdict} |"
        )
    return lines


def _stages(plan: Plan) -> list[str]:
    fleet = plan.numbers.fleet
    calls = fleet.calls_per_s / fleet.endpoints
    lines = [f"| stage, at {shown(calls)} calls a second | median, ms | 95% interval | processor time, ms |"]
    lines.append("| --- | --- | --- | --- |")
    whole, own = told(0.0, ""), told(0.0, "")
    for stage, words in STAGE_WORDS.items():
        name = f"path-stage-{stage.replace(' ', '-')}"
        took, spent = plan.series.at(name, calls), plan.series.at(f"{name}-cpu", calls)
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
        took = plan.series.at(name, calls)
        lines.append(f"| {words} | {_value(took)} | {_interval(took)} | |")
    return lines


def _value(figure: Figure) -> str:
    return "not known" if figure.value is None else shown(figure.value) + _marks(figure)


def _marks(figure: Figure) -> str:
    """What the page explains: beyond the sizes that were measured; read off the points of a curve."""
    return " †" * figure.is_beyond + " ‡" * figure.is_read_off


def _interval(figure: Figure) -> str:
    if figure.value is None or figure.low == figure.high:
        return ""
    return f"{shown(figure.low)} to {shown(figure.high)}"


def _line(row: Row) -> str:
    figure = row.figure
    value, interval = _value(figure), _interval(figure)
    if figure.value is not None:
        value = f"{shown(figure.value)} {row.unit}{_marks(figure)}"
    budget = "" if row.budget is None else f"{shown(row.budget)} {row.unit}"
    return (
        f"| {row.role} | {row.way} | {row.kind} | {row.what} | {figure.formula} | {value} | {interval} "
        f"| {budget} | {row.verdict} |"
    )


def _machines(numbers: Numbers) -> list[str]:
    fleet = numbers.fleet
    every, zones, regions, machines = shown(fleet.endpoints), fleet.zones, fleet.regions, fleet.machines
    zone, region = fleet.endpoints / zones, zones / regions
    rest = machines - zones - regions - ORIGINS
    lines = [
        ("runs", "machines", "one of them lost"),
        ("---", "---", "---"),
        (
            "zone tier",
            f"{zones}",
            f"its {every} / {zones} = {shown(zone)} sidecars go to a neighbour: 2 x {shown(zone)} there",
        ),
        (
            "region tier",
            f"{regions}",
            f"its {zones} / {regions} = {shown(region)} zone tiers go to another: 2 x {shown(region)} there",
        ),
        ("origin, and its stand-by", f"{ORIGINS}", "the other is asked; regions serve on by what they hold"),
        ("spare", f"{rest}", f"{machines} - {zones} - {regions} - {ORIGINS} = {rest} left"),
    ]
    return ["| " + " | ".join(line) + " |" for line in lines]


@click.command()
@click.option("--numbers", type=click.Path(path_type=Path), default=NUMBERS, show_default=True)
@click.option("--slopes", "folder", type=click.Path(path_type=Path), default=slopes.SLOPES, show_default=True)
@click.option("--markdown", "as_page", is_flag=True, help="The tables as they stand in docs/CAPACITY.md.")
def plan(numbers: Path, folder: Path, as_page: bool) -> None:
    """State, messages, processor time and memory of each role at the size that NUMBERS tells. Exit code 2:
    bad input."""
    try:
        text = markdown(Plan(load(numbers), slopes.read(folder)))
    except (PlanError, slopes.SlopesError) as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from None
    click.echo(text, nl=False)
