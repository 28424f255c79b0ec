"""Differences between the explanations of several hosts."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from thornlatch.cli._where_text import describe_outcome
from thornlatch.gateway import Explanation, TargetExplanation

DIFFERENCE_LIMIT = 100
NOT_LISTED = "not listed"


@dataclass(frozen=True)
class HostExplanation:
    """What one host answered.

    Parameters
    ----------
    address : str
    explanation : Explanation
    """

    address: str
    explanation: Explanation


@dataclass(frozen=True)
class HostValue:
    """A host's value of something that differs.

    Parameters
    ----------
    address, value : str
    """

    address: str
    value: str


@dataclass(frozen=True)
class Difference:
    """Something in which the explanations of hosts differ.

    Parameters
    ----------
    what : str
    values : tuple of HostValue
    """

    what: str
    values: tuple[HostValue, ...]


def _describe_choice(explanation: Explanation) -> str:
    outcome = explanation.outcome
    if explanation.refusals:
        return describe_outcome(explanation).partition(" after ")[0]
    return f"{outcome.action} {outcome.target}".strip()


COMPARED: dict[str, Callable[[Explanation], str]] = {
    "configuration": lambda explanation: str(explanation.configuration_version),
    "route": lambda explanation: explanation.route,
    "service": lambda explanation: explanation.service,
    "outcome": _describe_choice,
    "refusals": lambda explanation: (
        ", ".join(refusal.code for refusal in explanation.refusals) or "none"
    ),
    "adapter version": lambda explanation: (
        str(explanation.adapter.required_version) if explanation.adapter else "none"
    ),
    "number of targets": lambda explanation: str(explanation.target_count),
}


def find_differences(explanations: Sequence[HostExplanation]) -> tuple[Difference, ...]:
    """Return where hosts disagree, except in numbers that change all the time.

    Parameters
    ----------
    explanations : sequence of HostExplanation

    Returns
    -------
    tuple of Difference
        At most `DIFFERENCE_LIMIT`.
    """
    differences = [
        _compare(what, explanations, [get(item.explanation) for item in explanations])
        for what, get in COMPARED.items()
    ]
    views = [
        {target.target: _describe_view(target) for target in item.explanation.targets}
        for item in explanations
    ]
    names = dict.fromkeys(name for view in views for name in view)
    differences += [
        _compare(
            f"target {name}",
            explanations,
            [view.get(name, NOT_LISTED) for view in views],
        )
        for name in names
    ]
    found = [difference for difference in differences if difference is not None]
    return tuple(found[:DIFFERENCE_LIMIT])


def _compare(
    what: str, explanations: Sequence[HostExplanation], values: Sequence[str]
) -> Difference | None:
    if len(set(values)) <= 1:
        return None
    return Difference(
        what,
        tuple(
            HostValue(item.address, value)
            for item, value in zip(explanations, values, strict=True)
        ),
    )


def _describe_view(target: TargetExplanation) -> str:
    codes = [reason.code for reason in target.reasons]
    return ", ".join([target.step or "no option", *codes])
