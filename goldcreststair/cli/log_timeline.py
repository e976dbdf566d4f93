"""Collects the log lines about a subject into a timeline and names the cause of its end."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, Final

import orjson

CONTEXT_MS: Final = 3_000
"""Lines of the same VM or upstream are shown as context from this long before."""

CONTEXT_EVENTS: Final = frozenset(
    {
        "Stood still",
        "Loop paused",
        "Store lost",
        "Store regained",
        "Leaving",
        "Left",
        "Started",
        "Stopped",
        "Readiness changed",
        "Daemon silent",
        "Daemon gone",
        "Catalogue in force",
        "Catalogue unreadable",
        "Upstream changed",
        "Upstreams known",
        "Upstream gone",
        "Upstream down",
        "Upstream up",
        "Upstream ejected",
        "Upstream half open",
        "Upstream restored",
        "Lines dropped",
    }
)
"""Events that change the state or the view of a daemon."""

EXCLUDING_EVENTS: Final[Mapping[str, str]] = {
    "Upstream ejected": "ejected",
    "Upstream half open": "half open",
}
"""Events after which a VM sends an upstream no requests, or trial requests only."""

RERUN_EVENTS: Final = ("Request runs elsewhere", "Request goes back", "Item runs again")
"""Events after which a request or item is run again."""

CAUSES: Final[Mapping[str, str]] = {
    "rate_limited": "its customer had spent rate and burst over all VMs",
    "quota_full": "its customer had too many tokens waiting on the route",
    "overloaded": "every slot was in use and its first event would have been late",
    "no_upstream": "no upstream accepted it; it has not run",
    "not_ready": "this VM did not know what is allowed, or the store did not respond",
    "invalid_key": "its key is unknown or was withdrawn",
    "unknown_route": "no route of the catalogue in force has its host and path, or there is no such job",
    "invalid_request": "it could not be parsed",
    "too_large": "it was longer than the catalogue allows",
    "deadline": "its deadline passed at an upstream",
    "upstream_failed": "an upstream failed after it may have run it, and it must not or may not run again",
    "outcome_unknown": "it may have taken effect; the response of the store was lost",
    "quarantined": "it crashed the upstreams that ran it",
}
"""Meaning of each refusal's code."""

FIELDS: Final = ("request", "job", "item", "upstream", "session", "customer", "vm")
"""Fields of log lines that can be the subject of a timeline."""
HIDDEN: Final = frozenset({"time", "level", "vm", "logger", "event", "reason", "exception"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log."""

    at_ms: int
    vm: str
    event: str
    fields: Mapping[str, Any]

    def describe(self) -> str:
        """Return the line in readable form."""
        at = datetime.fromtimestamp(self.at_ms / 1000).strftime("%H:%M:%S.%f")[:-3]
        reason = self.fields.get("reason", "")
        facts = " ".join(f"{k}={v}" for k, v in self.fields.items() if k not in HIDDEN)
        text = f"{self.event}: {reason}" if reason else self.event
        return f"{at} {self.vm:15s} {text} {facts}".rstrip()


@dataclass(slots=True)
class Timeline:
    """The log lines about one subject, and the events that led to them."""

    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)
    left_out: int = 0
    """Number of lines of the same kinds that sampling dropped."""

    def describe_cause(self) -> str:
        """Return the cause of the subject's last event."""
        if not self.lines:
            return "nothing known: no line names it, or sampling dropped its lines"
        last = self.lines[-1]
        code = str(last.fields.get("code", ""))
        if last.event == "Request refused":
            cause = CAUSES.get(code, code)
            if last.fields.get("cut"):
                cause = f"its stream was cut: {last.fields.get('reason', '')}"
            return f"{cause}{self._describe_trigger(last)}"
        if last.event in ("Item given up", "Job not accepted", "Request given up"):
            return f"{last.fields.get('reason', '')}{self._describe_trigger(last)}"
        reruns = sum(line.event in RERUN_EVENTS for line in self.lines)
        again = f" after {reruns} runs that failed" if reruns else ""
        return f"{last.event.lower()}{again}{self._describe_trigger(last)}"

    def _describe_trigger(self, last: LogLine) -> str:
        before = [line for line in self.context if line.at_ms <= last.at_ms]
        if not before:
            return ""
        names = list(dict.fromkeys(f"{line.event.lower()} ({line.vm})" for line in before[-4:]))
        return "; shortly before: " + ", ".join(names)


def read_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines in a text; anything before the JSON of a line is ignored."""
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = orjson.loads(raw[start:])
            at = datetime.fromisoformat(fields["time"])
            yield LogLine(int(at.timestamp() * 1000), fields.get("vm", ""), fields["event"], fields)
        except (ValueError, KeyError, TypeError):
            # Other programs write to the same files.
            continue


def describe_excluded(lines: Iterable[LogLine]) -> list[str]:
    """Return the upstreams that are ejected or half-open after the last of the lines, and where."""
    states: dict[tuple[str, str], str] = {}
    for line in sorted(lines, key=lambda line: line.at_ms):
        upstream = str(line.fields.get("upstream", ""))
        if line.event in EXCLUDING_EVENTS:
            states[upstream, line.vm] = EXCLUDING_EVENTS[line.event]
        elif line.event == "Upstream restored":
            states.pop((upstream, line.vm), None)
        elif line.event == "Upstream gone":
            states = {key: state for key, state in states.items() if key[0] != upstream}
        elif line.event in ("Started", "Stopped"):
            states = {key: state for key, state in states.items() if key[1] != line.vm}
    vms: dict[tuple[str, str], list[str]] = {}
    for (upstream, vm), state in sorted(states.items()):
        vms.setdefault((upstream, state), []).append(vm)
    return [f"{upstream} {state} at {', '.join(each)}" for (upstream, state), each in vms.items()]


def build_timeline(lines: Iterable[LogLine], subject: str, subject_id: str) -> Timeline:
    """Return the lines about one subject in order of time, with the events that led to them."""
    known = sorted(lines, key=lambda line: line.at_ms)
    timeline = Timeline([line for line in known if str(line.fields.get(subject)) == subject_id])
    if not timeline.lines:
        return timeline
    begin, end = timeline.lines[0].at_ms - CONTEXT_MS, timeline.lines[-1].at_ms
    vms = {line.vm for line in timeline.lines}
    upstreams = {line.fields["upstream"] for line in timeline.lines if line.fields.get("upstream")}
    timeline.left_out = sum(int(line.fields.get("left_out", 0)) for line in timeline.lines)
    near = [line for line in known if begin <= line.at_ms <= end and line.event in CONTEXT_EVENTS]
    # All VMs log a change of an upstream at the same time: one of these lines is enough.
    known_changes: set[tuple[str, object, bool]] = set()
    for line in sorted(near, key=lambda line: (line.vm not in vms, line.at_ms)):
        upstream = line.fields.get("upstream")
        change = (line.event, upstream, bool(line.fields.get("draining")))
        if upstream in upstreams and change not in known_changes:
            known_changes.add(change)
            timeline.context.append(line)
        elif _is_local(line, vms):
            timeline.context.append(line)
    timeline.context.sort(key=lambda line: line.at_ms)
    return timeline


def _is_local(line: LogLine, vms: set[str]) -> bool:
    return line.vm in vms and "upstream" not in line.fields
