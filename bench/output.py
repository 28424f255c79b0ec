"""Rows of the benchmark output."""

from typing import Any


def build_row(
    name: str,
    value: float,
    unit: str,
    bound: float | None = None,
    baseline: float | None = None,
    *,
    seed: int | str | None = None,
    digits: int | None = None,
) -> dict[str, Any]:
    """Build one row of the output.

    Parameters
    ----------
    name : str
    value : float
    unit : str
    bound : float, optional
        Worst value that the stated requirement allows.
    baseline : float, optional
        Value measured without the mechanism under test.
    seed : int or str, optional
        Seed or range of seeds.
    digits : int, optional
        Decimal places to which numbers are rounded; not rounded by default.

    Returns
    -------
    dict
    """
    numbers = {"value": value, "bound": bound, "baseline": baseline}
    if digits is not None:
        for field, number in numbers.items():
            numbers[field] = None if number is None else round(number, digits)
    return {
        "name": name,
        "value": numbers["value"],
        "unit": unit,
        "bound": numbers["bound"],
        "baseline": numbers["baseline"],
        "seed": seed,
    }
