"""Derives the tables of docs/CAPACITY.md from the measured slopes and the operators' numbers.

Each figure carries its formula with the numbers filled in, so that a reader can check it. If a slope was not
measured, every figure that needs it is "not known". A cost that is not linear is interpolated between its
measured points, and is "not known" beyond the largest of them.
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
from larkcrank.lab.scale.view import RESTART_FLEET_SIZE

NUMBERS_FILE = Path("examples/scale/operators.toml")
SECONDS_PER_DAY = 86_400.0
WATCH_TIMEOUT_S = 60.0  # a watch without changes is answered after this time, and repeated
PER_SERVICE = "endpoints a service"
RESOURCES = ("state", "messages", "processor", "memory", "time")


class PlanError(Exception):
    """The numbers can't be used. The message names the file, key and value."""


class _Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of the sections of the file, in which unknown keys are errors."""


class Fleet(_Strict, frozen=True):
    """Size and load of the fleet."""

    endpoints: int
    services: int
    calls_per_s: float  # of the whole fleet
    depth: int  # calls in a row
    regions: int
    zones: int
    machines: int  # for control: tiers and origins
    called: int  # services that one sidecar calls


class Day(_Strict, frozen=True):
    """Events of an ordinary day."""

    changes: int  # of the list
    failed: int  # endpoints
    restarted: int  # endpoints
    burst: float  # factor by which the rate of changes rises in a burst


class Lost(_Strict, frozen=True):
    """Sizes of failures, in endpoints, and the time for which a region is cut off."""

    rack: int
    zone: int
    region: int
    apart_s: float


class Budgets(_Strict, frozen=True):
    """The limits that the figures are compared with."""

    added_ms: float  # 99th percentile of the time added to calls
    in_force_s: float  # until a change is applied by all sidecars
    core_percent: float  # processor time for control
    memory_mb: float  # for the list and the view
    bytes_per_s: float  # for lists and the view


class OperatorNumbers(_Strict, frozen=True):
    """The operators' numbers. examples/scale/operators.toml explains the fields."""

    fleet: Fleet
    day: Day
    lost: Lost
    budgets: Budgets


def load_numbers(path: Path) -> OperatorNumbers:
    """Reads and checks the operators' numbers. Raises `PlanError`."""
    try:
        numbers = msgspec.toml.decode(path.read_bytes(), type=OperatorNumbers)
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: {error}") from None
    for name, section in msgspec.to_builtins(numbers).items():
        for key, value in section.items():
            if not 0 < value < math.inf:
                raise PlanError(f"{path}: {name}.{key}: {value} is not greater than 0")
    return numbers


# Figures


def format_number(value: float) -> str:
    """Formats with four significant digits and commas between thousands."""
    if value == 0.0 or not math.isfinite(value):
        return f"{value:g}"
    decimals = max(3 - math.floor(math.log10(abs(value))), 0)
    text = f"{round(value, decimals):,.{min(decimals, 9)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


@dataclass(slots=True, frozen=True)
class Figure:
    """A number with its 95% interval, its formula and the names of its slopes. `value` None: not known."""

    value: float | None
    low: float = 0.0
    high: float = 0.0
    formula: str = ""
    series: tuple[str, ...] = ()
    is_extrapolated: bool = False  # beyond the measured sizes
    is_interpolated: bool = False  # from a cost that is not linear

    def times(self, factor: float, factor_text: str = "") -> "Figure":
        factor_text = factor_text or format_number(factor)
        bounds = sorted((self.low * factor, self.high * factor))
        formula = f"({self.formula})" if " + " in self.formula or " - " in self.formula else self.formula
        product = replace(self, low=bounds[0], high=bounds[1], formula=f"{formula} x {factor_text}")
        return product if self.value is None else replace(product, value=self.value * factor)

    def plus(self, other: "Figure") -> "Figure":
        is_known = self.value is not None and other.value is not None
        if not self.formula:
            return other
        return Figure(
            (self.value or 0.0) + (other.value or 0.0) if is_known else None,
            self.low + other.low,
            self.high + other.high,
            f"{self.formula} + {other.formula}",
            self.series + tuple(name for name in other.series if name not in self.series),
            self.is_extrapolated or other.is_extrapolated,
            self.is_interpolated or other.is_interpolated,
        )


def exact_figure(value: float, formula: str) -> Figure:
    """Returns a figure that depends on the operators' numbers only, and thus has no interval."""
    return Figure(value, value, value, formula)


@dataclass(slots=True)
class MeasuredSlopes:
    """The measured slopes by name. Records which of them were used and which are missing."""

    slopes: Mapping[str, Slope]
    used: dict[str, Slope] = field(default_factory=dict)
    missing: set[str] = field(default_factory=set)

    def cost_at(self, name: str, size: float) -> Figure:
        """Returns the cost at a size with the 95% interval of its mean."""
        slope = self.slopes.get(name)
        if slope is None:
            self.missing.add(name)
            return Figure(None, formula=f"[{name}] at {format_number(size)}")
        self.used[name] = slope
        is_logarithmic = slope.by.startswith("log10")
        x = math.log10(size) if is_logarithmic else size
        largest_size = max(point for point, _ in slope.points)
        size_text = f"log10 {format_number(size)}" if is_logarithmic else format_number(x)
        if not slope.linear:
            return self._interpolate(slope, name, x, size_text)
        mean = slope.intercept + slope.slope * x
        half_width = interval_half_width(slope, x)
        sign = "-" if slope.slope < 0.0 else "+"
        formula = f"{format_number(slope.intercept)} {sign} {format_number(abs(slope.slope))} x {size_text}"
        return Figure(
            mean, mean - half_width, mean + half_width, formula, (name,), is_extrapolated=x > largest_size
        )

    def growth_over(self, name: str, size: float) -> Figure:
        """Returns how much a size adds to the cost at size 0, that is, without the intercept."""
        slope = self.slopes.get(name)
        if slope is None:
            self.missing.add(name)
            return Figure(None, formula=f"[{name}] for {format_number(size)}")
        largest_size = max(point for point, _ in slope.points)
        self.used[name] = slope
        if not slope.linear:
            interpolated, smallest_size_cost = (
                self._interpolate(slope, name, size, format_number(size)),
                _mean(min(slope.points)[1]),
            )
            if interpolated.value is None:
                return interpolated
            return replace(
                interpolated,
                value=interpolated.value - smallest_size_cost,
                low=interpolated.low - smallest_size_cost,
                high=interpolated.high - smallest_size_cost,
                formula=f"{interpolated.formula} - {format_number(smallest_size_cost)}",
            )
        low, high = sorted((slope.low * size, slope.high * size))
        formula = f"{format_number(slope.slope)} x {format_number(size)}"
        return Figure(slope.slope * size, low, high, formula, (name,), is_extrapolated=size > largest_size)

    def _interpolate(self, slope: Slope, name: str, x: float, size_text: str) -> Figure:
        points = sorted(slope.points)
        if not points[0][0] <= x <= points[-1][0]:
            self.missing.add(f"{name} at {size_text}")
            formula = f"[{name}] is no line, and was not measured at {size_text}"
            return Figure(None, formula=formula, series=(name,))
        upper_index = next(index for index, (size, _) in enumerate(points) if size >= x)
        (lower_size, lower_costs), (upper_size, upper_costs) = (
            points[max(upper_index - 1, 0)],
            points[upper_index],
        )
        fraction = 0.0 if upper_size == lower_size else (x - lower_size) / (upper_size - lower_size)
        lower_mean, upper_mean = _mean(lower_costs), _mean(upper_costs)
        if x == upper_size:
            return Figure(
                upper_mean,
                min(upper_costs),
                max(upper_costs),
                format_number(upper_mean),
                (name,),
                is_interpolated=True,
            )
        value = lower_mean + (upper_mean - lower_mean) * fraction
        all_costs = lower_costs + upper_costs
        formula = (
            f"{format_number(lower_mean)} + ({format_number(upper_mean)} - {format_number(lower_mean)})"
            f" x {format_number(fraction)}"
        )
        return Figure(value, min(all_costs), max(all_costs), formula, (name,), is_interpolated=True)

    def preferred_name(self, name: str) -> str:
        """Returns the name of the slope of real processes if there is one, else that of hollow sidecars."""
        return f"{name}-real" if f"{name}-real" in self.slopes else name


def interval_half_width(slope: Slope, x: float) -> float:
    """Half of the 95% interval of a line's mean at x: t s sqrt(1/n + (x - mean)^2 / Sxx)."""
    xs = [size for size, costs in slope.points for _ in costs]
    mean = sum(xs) / len(xs)
    sum_of_squares = sum((x_value - mean) ** 2 for x_value in xs)
    if sum_of_squares <= 0.0 or slope.residual <= 0.0:
        return 0.0
    # Student's t follows from the interval of the slope: high - slope = t s / sqrt(Sxx).
    t = (slope.high - slope.slope) * math.sqrt(sum_of_squares) / slope.residual
    return t * slope.residual * math.sqrt(1.0 / len(xs) + (x - mean) ** 2 / sum_of_squares)


def _mean(costs: list[float]) -> float:
    return sum(costs) / len(costs)


# Rows


@dataclass(slots=True, frozen=True)
class Row:
    """A row of the tables: one figure for a role in a scenario."""

    scenario: str  # an ordinary day or a failure, such as ZONE_LOST
    role: str
    distribution: str  # how sidecars receive changes: ONE_DISCOVERY or TIERS; empty if it makes no difference
    resource: str  # one of RESOURCES
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


ORIGIN_MACHINES = 2  # one active, one standby
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
    """Computes the rows of all scenarios and roles."""

    def __init__(self, numbers: OperatorNumbers, slopes_by_name: Mapping[str, Slope]) -> None:
        self.numbers = numbers
        self.measured = MeasuredSlopes(slopes_by_name)
        fleet, day = numbers.fleet, numbers.day
        self._endpoints = float(fleet.endpoints)
        self._endpoints_per_service = fleet.endpoints / fleet.services
        self._called_endpoints = round(fleet.called * self._endpoints_per_service)
        self._changes_per_s = day.changes / SECONDS_PER_DAY
        self._listed_endpoints = {ONE_DISCOVERY: self._endpoints, TIERS: float(self._called_endpoints)}
        self._endpoints_per_zone = fleet.endpoints / fleet.zones
        self._restarts_per_s = (day.restarted + day.failed) / SECONDS_PER_DAY
        self.rows = list(self._rows())

    def _rows(self) -> Iterator[Row]:
        yield from self._ordinary_data_path_rows()
        for distribution in (ONE_DISCOVERY, TIERS):
            yield from self._ordinary_control_rows(distribution)
        yield from self._ordinary_discovery_rows()
        yield from self._ordinary_view_rows()
        yield from self._operator_tool_rows()
        yield from self._loss_rows(RACK_LOST, self.numbers.lost.rack, "rack")
        yield from self._loss_rows(ZONE_LOST, self.numbers.lost.zone, "zone")
        yield from self._region_apart_rows()
        yield from self._power_loss_rows()
        yield from self._tier_machine_lost_rows()

    # An ordinary day

    def _ordinary_data_path_rows(self) -> Iterator[Row]:
        fleet, budget = self.numbers.fleet, self.numbers.budgets.added_ms
        calls = fleet.calls_per_s / fleet.endpoints
        cost_at = self.measured.cost_at
        formula = f"{format_number(fleet.calls_per_s)} / {format_number(self._endpoints)}"
        yield Row(ORDINARY_DAY, DATA_PATH, "", "messages", "calls", exact_figure(calls, formula), "a second")
        processor = cost_at("path-processor", calls)
        yield Row(ORDINARY_DAY, DATA_PATH, "", "processor", "at this rate", processor, "% of a core")
        yield Row(
            ORDINARY_DAY, DATA_PATH, "", "time", "added, median", cost_at("path-added-median", calls), "ms"
        )
        for series_prefix, condition in (("", "as measured"), ("alone-", "with a processor to itself")):
            p99 = cost_at("path-added-p99" if not series_prefix else "path-alone-p99", calls)
            yield Row(
                ORDINARY_DAY, DATA_PATH, "", "time", f"added, 99 in 100, {condition}", p99, "ms", budget
            )
            chain_p99 = cost_at(f"path-{series_prefix}row-p99", fleet.depth)
            description = f"{fleet.depth} in a row, 99 in 100, {condition}"
            yield Row(ORDINARY_DAY, DATA_PATH, "", "time", description, chain_p99, "ms", budget)

    def _ordinary_control_rows(self, distribution: str) -> Iterator[Row]:
        budgets, listed, measured = self.numbers.budgets, self._listed_endpoints[distribution], self.measured
        rate, rate_formula = self._received_changes_per_s(distribution)
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            distribution,
            "state",
            "endpoints listed",
            self._listed_figure(distribution),
            "lines",
        )
        list_bytes = measured.cost_at(
            measured.preferred_name("sidecar-change-bytes-by-endpoints"), listed
        ).times(rate, rate_formula)
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            distribution,
            "messages",
            "lists",
            list_bytes,
            "B/s",
            budgets.bytes_per_s,
        )
        total_bytes = list_bytes.plus(self._view_bytes_per_s())
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            distribution,
            "messages",
            "lists and view",
            total_bytes,
            "B/s",
            budgets.bytes_per_s,
        )
        idle = measured.cost_at(measured.preferred_name("sidecar-idle-by-endpoints"), listed)
        change_cost = measured.cost_at(measured.preferred_name("sidecar-change-cpu-by-endpoints"), listed)
        processor_time = idle.plus(change_cost.times(rate / 10.0, f"{rate_formula} / 10"))
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            distribution,
            "processor",
            "idle, and changes",
            processor_time,
            "% of a core",
            budgets.core_percent,
        )
        burst = idle.plus(
            change_cost.times(
                rate * self.numbers.day.burst / 10.0,
                f"{rate_formula} x {format_number(self.numbers.day.burst)} / 10",
            )
        )
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            distribution,
            "processor",
            "the same in a burst",
            burst,
            "% of a core",
            budgets.core_percent,
        )
        with_view = processor_time.plus(measured.cost_at("view-processor", self._endpoints))
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            distribution,
            "processor",
            "and the view",
            with_view,
            "% of a core",
            budgets.core_percent,
        )
        memory = measured.growth_over(measured.preferred_name("sidecar-memory-by-endpoints"), listed)
        memory_budget_mib = budgets.memory_mb * 1e6 / (1 << 20)
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            distribution,
            "memory",
            "what the list adds",
            memory,
            "MiB",
            memory_budget_mib,
        )
        with_view = memory.plus(measured.cost_at("view-memory", self._endpoints))
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            distribution,
            "memory",
            "and the view",
            with_view,
            "MiB",
            memory_budget_mib,
        )
        process_memory = measured.cost_at(measured.preferred_name("sidecar-memory-by-endpoints"), listed)
        yield Row(
            ORDINARY_DAY,
            SIDECAR_CONTROL,
            distribution,
            "memory",
            "the whole process, its data path too",
            process_memory,
            "MiB",
        )

    def _received_changes_per_s(self, distribution: str) -> tuple[float, str]:
        """Returns how many changes per second a sidecar receives, and the formula."""
        rate_formula = f"{format_number(self.numbers.day.changes)} / {format_number(SECONDS_PER_DAY)}"
        if distribution == ONE_DISCOVERY:
            return self._changes_per_s, rate_formula
        return (
            self._changes_per_s * self._called_endpoints / self._endpoints,
            f"{rate_formula} x {self._called_endpoints} / {format_number(self._endpoints)}",
        )

    def _listed_figure(self, distribution: str) -> Figure:
        if distribution == ONE_DISCOVERY:
            return exact_figure(self._endpoints, format_number(self._endpoints))
        return exact_figure(
            self._called_endpoints,
            f"{self.numbers.fleet.called} x {format_number(self._endpoints)} / {self.numbers.fleet.services}",
        )

    def _view_bytes_per_s(self) -> Figure:
        """Returns the bytes per second that a member sends.

        The number of times that it sends each update grows with the logarithm of the number of members
        (membership.py).
        """
        day = self.numbers.day
        restarts_formula = (
            f"({format_number(day.restarted)} + {day.failed}) / {format_number(SECONDS_PER_DAY)}"
        )
        restart_bytes = self.measured.growth_over("view-restart-bytes", self._restarts_per_s)
        if restart_bytes.value is not None:
            restart_bytes = replace(
                restart_bytes,
                formula=f"{format_number(self.measured.slopes['view-restart-bytes'].slope)}"
                f" x {restarts_formula}",
            )
        transmissions = math.log2(self._endpoints) / math.log2(RESTART_FLEET_SIZE)
        restart_bytes = restart_bytes.times(
            transmissions, f"log2 {format_number(self._endpoints)} / log2 {RESTART_FLEET_SIZE}"
        )
        return self.measured.cost_at("view-calm-bytes", self._endpoints).plus(restart_bytes)

    def _ordinary_discovery_rows(self) -> Iterator[Row]:
        budgets, measured = self.numbers.budgets, self.measured
        rate_formula = f"{format_number(self.numbers.day.changes)} / {format_number(SECONDS_PER_DAY)}"
        watchers = self._endpoints
        calls = watchers * (self._changes_per_s + 1.0 / WATCH_TIMEOUT_S)
        formula = f"{format_number(watchers)} x ({rate_formula} + 1 / {format_number(WATCH_TIMEOUT_S)})"
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
        bytes_sent = measured.cost_at("discovery-bytes-by-watchers", watchers).times(
            self._changes_per_s / 1e6, f"{rate_formula} / 1,000,000"
        )
        yield Row(ORDINARY_DAY, DISCOVERY_SIDE, ONE_DISCOVERY, "messages", "sent", bytes_sent, "MB/s")
        processor_time = measured.cost_at("discovery-cpu-by-watchers", watchers).times(
            self._changes_per_s / 10.0, f"{rate_formula} / 10"
        )
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "processor",
            "one process, one core",
            processor_time,
            "% of a core",
            100.0,
        )
        burst = processor_time.times(self.numbers.day.burst)
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
        memory = measured.cost_at("discovery-memory-by-watchers", watchers)
        yield Row(ORDINARY_DAY, DISCOVERY_SIDE, ONE_DISCOVERY, "memory", "one process", memory, "MiB")
        write_time = measured.cost_at("discovery-write-by-watchers", watchers).times(1e-3, "1 / 1,000")
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "time",
            "a lone change, written to all",
            write_time,
            "s",
            budgets.in_force_s,
        )
        last_applied = measured.cost_at("path-last-by-watchers", watchers).times(1e-3, "1 / 1,000")
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "time",
            "a lone change in force, the last of all, on one machine",
            last_applied,
            "s",
            budgets.in_force_s,
        )
        for tier, count, groups in self._tier_receivers():
            formula = f"{format_number(count)} / {format_number(groups)}"
            receivers = count / groups
            yield Row(
                ORDINARY_DAY,
                DISCOVERY_SIDE,
                TIERS,
                "state",
                f"{tier}: receivers",
                exact_figure(receivers, formula),
                "watches",
            )
            processor_time = measured.cost_at("tier-cpu-by-watchers", receivers).times(
                self._changes_per_s / 10.0, f"{rate_formula} / 10"
            )
            yield Row(
                ORDINARY_DAY,
                DISCOVERY_SIDE,
                TIERS,
                "processor",
                f"{tier}",
                processor_time,
                "% of a core",
                100.0,
            )
            bytes_sent = measured.cost_at("tier-bytes-by-watchers", receivers).times(
                self._changes_per_s, rate_formula
            )
            yield Row(ORDINARY_DAY, DISCOVERY_SIDE, TIERS, "messages", f"{tier}: sent", bytes_sent, "B/s")
            memory = measured.cost_at("tier-memory-by-watchers", receivers)
            yield Row(ORDINARY_DAY, DISCOVERY_SIDE, TIERS, "memory", f"{tier}", memory, "MiB")
        last_applied = measured.cost_at("tier-last-by-sidecars", self._endpoints).times(1e-3, "1 / 1,000")
        yield Row(
            ORDINARY_DAY,
            DISCOVERY_SIDE,
            TIERS,
            "time",
            "a lone change, the last of all",
            last_applied,
            "s",
            budgets.in_force_s,
        )

    def _tier_receivers(self) -> Iterable[tuple[str, float, float]]:
        fleet = self.numbers.fleet
        return (
            ("origin", float(fleet.regions), 1.0),
            ("region tier", float(fleet.zones), float(fleet.regions)),
            ("zone tier", self._endpoints, float(fleet.zones)),
        )

    def _ordinary_view_rows(self) -> Iterator[Row]:
        cost_at, endpoints, budgets = self.measured.cost_at, self._endpoints, self.numbers.budgets
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "state",
            "members known",
            exact_figure(endpoints, format_number(endpoints)),
            "records",
        )
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "messages",
            "datagrams sent",
            cost_at("view-calm-datagrams", endpoints),
            "a second",
        )
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "messages",
            "sent, with restarts told",
            self._view_bytes_per_s(),
            "B/s",
            budgets.bytes_per_s,
        )
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "processor",
            "besides socket and loop",
            cost_at("view-processor", endpoints),
            "% of a core",
            budgets.core_percent,
        )
        memory_budget_mib = budgets.memory_mb * 1e6 / (1 << 20)
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "memory",
            "view and places",
            cost_at("view-memory", endpoints),
            "MiB",
            memory_budget_mib,
        )
        yield Row(
            ORDINARY_DAY,
            VIEW_MEMBERS,
            "",
            "time",
            "one lost: all views true",
            cost_at("view-one-settling", endpoints),
            "s",
        )

    def _operator_tool_rows(self) -> Iterator[Row]:
        measured, endpoints = self.measured, self._endpoints
        yield Row(
            ORDINARY_DAY,
            OPERATOR_TOOLS,
            "",
            "messages",
            "an answer to VIEW",
            measured.cost_at("view-asked-size", endpoints),
            "KiB",
        )
        processor_time = measured.cost_at("view-asked-processor", endpoints)
        yield Row(
            ORDINARY_DAY, OPERATOR_TOOLS, "", "processor", "a sidecar's, for one VIEW", processor_time, "ms"
        )
        restarts = self.numbers.day.restarted + self.numbers.day.failed
        lines = measured.growth_over("view-restart-lines", float(restarts))
        yield Row(
            ORDINARY_DAY, OPERATOR_TOOLS, "", "state", "log lines of members, a sidecar", lines, "a day"
        )
        yield Row(
            ORDINARY_DAY,
            OPERATOR_TOOLS,
            "",
            "state",
            "the same, all sidecars",
            lines.times(endpoints / 1e6, f"{format_number(endpoints)} / 1,000,000"),
            "million a day",
        )

    # Failures

    def _loss_rows(self, scenario: str, lost: int, loss_name: str) -> Iterator[Row]:
        measured, budgets, endpoints = self.measured, self.numbers.budgets, self._endpoints
        for distribution in (ONE_DISCOVERY, TIERS):
            received_changes = (
                lost if distribution == ONE_DISCOVERY else lost * self._called_endpoints / endpoints
            )
            changes_formula = (
                f"{lost}"
                if distribution == ONE_DISCOVERY
                else f"{lost} x {self._called_endpoints} / {format_number(endpoints)}"
            )
            change_cost = measured.cost_at(
                measured.preferred_name("sidecar-change-cpu-by-endpoints"),
                self._listed_endpoints[distribution],
            )
            processor_time = change_cost.times(received_changes / 1e3, f"{changes_formula} / 1,000")
            yield Row(
                scenario,
                SIDECAR_CONTROL,
                distribution,
                "processor",
                "told line by line",
                processor_time,
                "s",
                budgets.in_force_s,
            )
            if loss_name == "zone":
                burst_cost = measured.cost_at(
                    measured.preferred_name("sidecar-burst-cpu-by-endpoints"),
                    self._listed_endpoints[distribution],
                )
                yield Row(
                    scenario,
                    SIDECAR_CONTROL,
                    distribution,
                    "processor",
                    "364 told at once",
                    burst_cost.times(1e-3, "1 / 1,000"),
                    "s",
                    budgets.in_force_s,
                )
        processor_time = measured.cost_at("discovery-cpu-by-watchers", endpoints).times(
            lost / 1e3, f"{lost} / 1,000"
        )
        yield Row(
            scenario,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "processor",
            "told line by line",
            processor_time,
            "s",
            budgets.in_force_s,
        )
        bytes_sent = measured.cost_at("discovery-bytes-by-watchers", endpoints).times(
            lost / 1e6, f"{lost} / 1,000,000"
        )
        yield Row(
            scenario, DISCOVERY_SIDE, ONE_DISCOVERY, "messages", "sent, told line by line", bytes_sent, "MB"
        )
        processor_time = measured.cost_at("tier-cpu-by-watchers", self._endpoints_per_zone).times(
            lost / 1e3, f"{lost} / 1,000"
        )
        yield Row(
            scenario,
            DISCOVERY_SIDE,
            TIERS,
            "processor",
            "zone tier, told line by line",
            processor_time,
            "s",
            budgets.in_force_s,
        )
        yield Row(
            scenario,
            VIEW_MEMBERS,
            "",
            "time",
            "all views true",
            measured.cost_at(f"view-{loss_name}-settling", endpoints),
            "s",
        )
        bytes_sent = measured.cost_at(f"view-{loss_name}-bytes", endpoints)
        yield Row(
            scenario, VIEW_MEMBERS, "", "messages", "sent until then", bytes_sent, "B/s", budgets.bytes_per_s
        )
        yield Row(
            scenario,
            VIEW_MEMBERS,
            "",
            "processor",
            "added in the minute after",
            measured.cost_at("view-lost-processor", lost),
            "ms",
        )

    def _region_apart_rows(self) -> Iterator[Row]:
        lost, fleet, measured = self.numbers.lost, self.numbers.fleet, self.measured
        changes = self._changes_per_s * lost.apart_s
        missed = changes * (fleet.regions - 1) / fleet.regions
        changes_formula = (
            f"{format_number(self.numbers.day.changes)} x {format_number(lost.apart_s)}"
            f" / {format_number(SECONDS_PER_DAY)}"
        )
        missed_formula = f"{changes_formula} x {fleet.regions - 1} / {fleet.regions}"
        yield Row(
            REGION_APART,
            DISCOVERY_SIDE,
            "",
            "messages",
            "changes that the region missed",
            exact_figure(missed, missed_formula),
            "changes",
        )
        inner_changes = exact_figure(changes / fleet.regions, f"{changes_formula} / {fleet.regions}")
        yield Row(
            REGION_APART,
            DISCOVERY_SIDE,
            "",
            "messages",
            "changes within it, missed by the others",
            inner_changes,
            "changes",
        )
        bytes_per_endpoint = measured.growth_over("sidecar-list-bytes-by-endpoints", 1.0)
        bytes_sent = bytes_per_endpoint.times(
            missed * lost.region / 1e6, f"{format_number(missed)} x {lost.region} / 1,000,000"
        )
        yield Row(
            REGION_APART,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "messages",
            "told to its sidecars after",
            bytes_sent,
            "MB",
        )
        bytes_sent = bytes_per_endpoint.times(
            (missed + changes / fleet.regions) / 1e6, f"{format_number(changes)} / 1,000,000"
        )
        yield Row(
            REGION_APART,
            DISCOVERY_SIDE,
            TIERS,
            "messages",
            "between region tier and origin after",
            bytes_sent,
            "MB",
        )
        yield Row(
            REGION_APART,
            VIEW_MEMBERS,
            "",
            "time",
            "healed: all views true",
            measured.cost_at("view-apart-settling", self._endpoints),
            "s",
        )
        bytes_per_member = measured.cost_at("view-apart-bytes", self._endpoints).times(1e-3, "1 / 1,000")
        yield Row(
            REGION_APART, VIEW_MEMBERS, "", "messages", "sent by a member until then", bytes_per_member, "KB"
        )

    def _power_loss_rows(self) -> Iterator[Row]:
        measured, endpoints = self.measured, self._endpoints
        for distribution in (ONE_DISCOVERY, TIERS):
            listed = self._listed_endpoints[distribution]
            start_time = measured.cost_at(
                measured.preferred_name("sidecar-start-by-endpoints"), listed
            ).times(1e-3, "1 / 1,000")
            yield Row(
                POWER_LOSS,
                SIDECAR_CONTROL,
                distribution,
                "time",
                "one alone, start to serving",
                start_time,
                "s",
            )
            list_bytes = measured.cost_at(measured.preferred_name("sidecar-list-bytes-by-endpoints"), listed)
            yield Row(
                POWER_LOSS,
                SIDECAR_CONTROL,
                distribution,
                "messages",
                "its whole list",
                list_bytes.times(1e-3, "1 / 1,000"),
                "KB",
            )
            receivers, sender = (
                (endpoints, "discovery")
                if distribution == ONE_DISCOVERY
                else (self._endpoints_per_zone, "a zone tier")
            )
            bytes_sent = list_bytes.times(receivers / 1e6, f"{format_number(receivers)} / 1,000,000")
            yield Row(
                POWER_LOSS,
                DISCOVERY_SIDE,
                distribution,
                "messages",
                f"whole lists from {sender}",
                bytes_sent,
                "MB",
            )
        processor_time = measured.cost_at("discovery-whole-cpu-by-watchers", endpoints).times(
            1e-3, "1 / 1,000"
        )
        yield Row(
            POWER_LOSS,
            DISCOVERY_SIDE,
            ONE_DISCOVERY,
            "processor",
            "whole lists, were they of 28 lines",
            processor_time,
            "s",
        )
        yield Row(
            POWER_LOSS,
            VIEW_MEMBERS,
            "",
            "time",
            "all views true",
            measured.cost_at("view-join-settling", endpoints),
            "s",
        )
        bytes_sent = measured.cost_at("view-join-bytes", endpoints)
        yield Row(
            POWER_LOSS,
            VIEW_MEMBERS,
            "",
            "messages",
            "in the two minutes after",
            bytes_sent,
            "B/s",
            self.numbers.budgets.bytes_per_s,
        )

    def _tier_machine_lost_rows(self) -> Iterator[Row]:
        """Rows for the loss of a zone tier's machine: its sidecars use another zone tier."""
        measured, budgets, zone_endpoints = self.measured, self.numbers.budgets, self._endpoints_per_zone
        rate_formula = f"{format_number(self.numbers.day.changes)} / {format_number(SECONDS_PER_DAY)}"
        receivers = exact_figure(
            2 * zone_endpoints, f"2 x {format_number(self._endpoints)} / {self.numbers.fleet.zones}"
        )
        yield Row(
            TIER_MACHINE_LOST, DISCOVERY_SIDE, TIERS, "state", "zone tier: receivers", receivers, "watches"
        )
        processor_time = measured.cost_at("tier-cpu-by-watchers", 2 * zone_endpoints).times(
            self._changes_per_s / 10.0, f"{rate_formula} / 10"
        )
        yield Row(
            TIER_MACHINE_LOST,
            DISCOVERY_SIDE,
            TIERS,
            "processor",
            "zone tier",
            processor_time,
            "% of a core",
            100.0,
        )
        list_bytes = measured.cost_at(
            measured.preferred_name("sidecar-list-bytes-by-endpoints"), self._listed_endpoints[TIERS]
        )
        bytes_sent = list_bytes.times(zone_endpoints / 1e6, f"{format_number(zone_endpoints)} / 1,000,000")
        yield Row(
            TIER_MACHINE_LOST,
            DISCOVERY_SIDE,
            TIERS,
            "messages",
            "parts told to those who came",
            bytes_sent,
            "MB",
        )
        failover_time = measured.cost_at("tier-failover-by-watchers", zone_endpoints).times(1e-3, "1 / 1,000")
        yield Row(
            TIER_MACHINE_LOST,
            DISCOVERY_SIDE,
            TIERS,
            "time",
            "until all are told again",
            failover_time,
            "s",
            2 * budgets.in_force_s,
        )


# Tables


def markdown(plan: CapacityPlan) -> str:
    """Returns the tables of docs/CAPACITY.md."""
    lines = ["### Budgets, the shortest first", "", *_budget_table(plan), ""]
    lines += ["### The time added to a call, by stage", "", *_stage_table(plan), ""]
    for scenario in dict.fromkeys(row.scenario for row in plan.rows):
        lines += [f"### {scenario[0].upper()}{scenario[1:]}", ""]
        lines.append("| role | way | | what | arithmetic | figure | 95% interval | budget | verdict |")
        lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        lines += [_table_row(row) for row in plan.rows if row.scenario == scenario] + [""]
    lines += ["### Machines for control", "", *_machine_table(plan.numbers), ""]
    lines += ["### The slopes behind it", ""]
    lines.append("| series | by | slope | 95% interval | at none | residual | measured at | how | run |")
    lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name, slope in sorted(plan.measured.used.items()):
        slope_text = (
            format_number(slope.slope)
            if slope.linear
            else f"{format_number(slope.slope)}, no line ({slope.shape})"
        )
        sizes = f"{format_number(slope.points[0][0])} to {format_number(slope.points[-1][0])}"
        interval = f"{format_number(slope.low)} to {format_number(slope.high)}"
        lines.append(
            f"| {name} ({slope.unit}) | {slope.by} | {slope_text} | {interval} "
            f"| {format_number(slope.intercept)} | {format_number(slope.residual)} "
            f"| {sizes} | {slope.how} | {slope.run} |"
        )
    missing = sorted(plan.measured.missing)
    if missing:
        lines += ["", f"Not measured, so not known: {', '.join(missing)}."]
    return "\n".join(lines) + "\n"


def _budget_table(plan: CapacityPlan) -> list[str]:
    """Returns the table of all figures with a budget, sorted by figure / budget from the largest."""
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


def _stage_table(plan: CapacityPlan) -> list[str]:
    fleet = plan.numbers.fleet
    calls = fleet.calls_per_s / fleet.endpoints
    lines = [
        f"| stage, at {format_number(calls)} calls a second "
        "| median, ms | 95% interval | processor time, ms |"
    ]
    lines.append("| --- | --- | --- | --- |")
    total_time, total_processor_time = exact_figure(0.0, ""), exact_figure(0.0, "")
    for stage, description in STAGE_DESCRIPTIONS.items():
        name = f"path-stage-{stage.replace(' ', '-')}"
        time, processor_time = plan.measured.cost_at(name, calls), plan.measured.cost_at(f"{name}-cpu", calls)
        total_time, total_processor_time = total_time.plus(time), total_processor_time.plus(processor_time)
        lines.append(
            f"| {description} | {_value_text(time)} | {_interval_text(time)} "
            f"| {_value_text(processor_time)} |"
        )
    lines.append(
        f"| sum of the medians | {_value_text(total_time)} | | {_value_text(total_processor_time)} |"
    )
    for name, description in (
        ("path-there-median", "client to endpoint, unstamped"),
        ("path-back-median", "endpoint to client, unstamped"),
        ("path-direct-median", "both ways without a sidecar, the same run"),
        ("path-direct-p99", "the same, 99 in 100"),
        ("path-quiet-median", "added, sidecar undisturbed by other processes, stamped"),
        ("path-quiet-p99", "the same, 99 in 100"),
    ):
        time = plan.measured.cost_at(name, calls)
        lines.append(f"| {description} | {_value_text(time)} | {_interval_text(time)} | |")
    return lines


def _value_text(figure: Figure) -> str:
    return "not known" if figure.value is None else format_number(figure.value) + _footnote_marks(figure)


def _footnote_marks(figure: Figure) -> str:
    """Returns the footnote marks, which the page explains, for extrapolated and interpolated figures."""
    return " †" * figure.is_extrapolated + " ‡" * figure.is_interpolated


def _interval_text(figure: Figure) -> str:
    if figure.value is None or figure.low == figure.high:
        return ""
    return f"{format_number(figure.low)} to {format_number(figure.high)}"


def _table_row(row: Row) -> str:
    figure = row.figure
    value, interval = _value_text(figure), _interval_text(figure)
    if figure.value is not None:
        value = f"{format_number(figure.value)} {row.unit}{_footnote_marks(figure)}"
    budget = "" if row.budget is None else f"{format_number(row.budget)} {row.unit}"
    return (
        f"| {row.role} | {row.distribution} | {row.resource} | {row.description} "
        f"| {figure.formula} | {value} | {interval} "
        f"| {budget} | {row.verdict} |"
    )


def _machine_table(numbers: OperatorNumbers) -> list[str]:
    fleet = numbers.fleet
    endpoints, zones, regions, machines = (
        format_number(fleet.endpoints),
        fleet.zones,
        fleet.regions,
        fleet.machines,
    )
    endpoints_per_zone, zones_per_region = fleet.endpoints / zones, zones / regions
    spare = machines - zones - regions - ORIGIN_MACHINES
    lines = [
        ("runs", "machines", "one of them lost"),
        ("---", "---", "---"),
        (
            "zone tier",
            f"{zones}",
            f"its {endpoints} / {zones} = {format_number(endpoints_per_zone)} sidecars go to a neighbour: "
            f"2 x {format_number(endpoints_per_zone)} there",
        ),
        (
            "region tier",
            f"{regions}",
            f"its {zones} / {regions} = {format_number(zones_per_region)} zone tiers go to another: "
            f"2 x {format_number(zones_per_region)} there",
        ),
        (
            "origin, and its stand-by",
            f"{ORIGIN_MACHINES}",
            "the other is asked; regions serve on by what they hold",
        ),
        ("spare", f"{spare}", f"{machines} - {zones} - {regions} - {ORIGIN_MACHINES} = {spare} left"),
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
        page = markdown(CapacityPlan(load_numbers(numbers), slopes.read_slopes(folder)))
    except (PlanError, slopes.SlopesError) as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from None
    click.echo(page, nl=False)
